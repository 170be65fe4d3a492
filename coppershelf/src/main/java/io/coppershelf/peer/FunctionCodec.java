package io.coppershelf.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * A codec that consists of two functions.
 *
 * @param typeId the id of the type on the wire
 * @param type the message type
 * @param writer writes the fields
 * @param reader reads the fields
 * @param <T> the message type
 */
public record FunctionCodec<T extends PeerMessage>(int typeId, Class<T> type, Writer<T> writer, Reader<T> reader)
        implements PeerMessageCodec<T> {
    @Override
    public void write(T message, MessagePacker packer) throws IOException {
        writer.write(message, packer);
    }

    @Override
    public T read(MessageUnpacker unpacker) throws IOException {
        return reader.read(unpacker);
    }

    /**
     * Writes the fields of a message.
     *
     * @param <T> the message type
     */
    @FunctionalInterface
    public interface Writer<T> {
        /** Writes the fields. */
        void write(T message, MessagePacker packer) throws IOException;
    }

    /**
     * Reads the fields of a message.
     *
     * @param <T> the message type
     */
    @FunctionalInterface
    public interface Reader<T> {
        /** Reads the fields. */
        T read(MessageUnpacker unpacker) throws IOException;
    }
}
