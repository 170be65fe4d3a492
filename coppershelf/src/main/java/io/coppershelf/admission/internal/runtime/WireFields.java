package io.coppershelf.admission.internal.runtime;

import io.coppershelf.backend.BackendRequest.Header;
import io.coppershelf.outcome.ErrorKind;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes the fields that several messages have in common. */
final class WireFields {
    private static final int MOST_HEADERS = 1_000;

    private WireFields() {}

    static void writeHeaders(List<Header> headers, MessagePacker packer) throws IOException {
        packer.packArrayHeader(headers.size());
        for (Header header : headers) {
            packer.packString(header.name());
            packer.packString(header.value());
        }
    }

    static List<Header> readHeaders(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        if (count > MOST_HEADERS) {
            throw new IOException("expected at most " + MOST_HEADERS + " headers but got " + count);
        }
        List<Header> headers = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            headers.add(new Header(unpacker.unpackString(), unpacker.unpackString()));
        }
        return headers;
    }

    static void writeBytes(byte[] bytes, MessagePacker packer) throws IOException {
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }

    static byte[] readBytes(MessageUnpacker unpacker) throws IOException {
        int length = unpacker.unpackBinaryHeader();
        return unpacker.readPayload(length);
    }

    static ErrorKind readKind(MessageUnpacker unpacker) throws IOException {
        String name = unpacker.unpackString();
        try {
            return ErrorKind.valueOf(name);
        } catch (IllegalArgumentException e) {
            throw new IOException("expected an error kind but got \"" + name + "\"", e);
        }
    }
}
