package io.coppershelf.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads and writes fields that several messages have in common; lengths are checked before memory is allocated for
 * them.
 *
 * <pre>{@code
 * MessageFields.writeList(packer, message.names(), (p, name) -> p.packString(name));
 * List<String> names = MessageFields.readList(unpacker, MessageUnpacker::unpackString);
 * }</pre>
 */
public final class MessageFields {
    /** The maximum size of a frame from a known VM, in bytes. */
    public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

    private MessageFields() {}

    /** Writes a byte array. */
    public static void writeBytes(MessagePacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }

    /**
     * Reads a byte array.
     *
     * @throws IOException if its length exceeds the maximum frame size
     */
    public static byte[] readBytes(MessageUnpacker unpacker) throws IOException {
        return unpacker.readPayload(checkedLength(unpacker.unpackBinaryHeader()));
    }

    /** Writes a list. */
    public static <T> void writeList(MessagePacker packer, Collection<T> list, Writer<T> writer) throws IOException {
        packer.packArrayHeader(list.size());
        for (T element : list) {
            writer.write(packer, element);
        }
    }

    /**
     * Reads a list.
     *
     * @throws IOException if the bytes are not such a list
     */
    public static <T> List<T> readList(MessageUnpacker unpacker, Reader<T> reader) throws IOException {
        int size = checkedLength(unpacker.unpackArrayHeader());
        List<T> list = new ArrayList<>(Math.min(size, 1024));
        for (int i = 0; i < size; i++) {
            list.add(reader.read(unpacker));
        }
        return list;
    }

    /** Writes a value that may be absent. */
    public static <T> void writeOptional(MessagePacker packer, Optional<T> value, Writer<T> writer) throws IOException {
        if (value.isEmpty()) {
            packer.packNil();
            return;
        }
        writer.write(packer, value.get());
    }

    /**
     * Reads a value that may be absent.
     *
     * @throws IOException if the bytes are not such a value
     */
    public static <T> Optional<T> readOptional(MessageUnpacker unpacker, Reader<T> reader) throws IOException {
        return unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(reader.read(unpacker));
    }

    private static int checkedLength(int length) throws IOException {
        if (length > MAX_FRAME_BYTES) {
            throw new IOException("a field of length " + length + " exceeds the maximum frame size");
        }
        return length;
    }

    /** Writes one value. */
    @FunctionalInterface
    public interface Writer<T> {
        /** Writes the value. */
        void write(MessagePacker packer, T value) throws IOException;
    }

    /** Reads one value. */
    @FunctionalInterface
    public interface Reader<T> {
        /** Reads a value. */
        T read(MessageUnpacker unpacker) throws IOException;
    }
}
