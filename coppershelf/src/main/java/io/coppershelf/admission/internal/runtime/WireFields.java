package io.coppershelf.admission.internal.runtime;

import io.coppershelf.backend.BackendRequest.Header;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.peer.MessageFields;
import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes the fields that several messages have in common. */
final class WireFields {
    private WireFields() {}

    static void writeHeaders(MessagePacker packer, List<Header> headers) throws IOException {
        MessageFields.writeList(packer, headers, (target, header) -> {
            target.packString(header.name());
            target.packString(header.value());
        });
    }

    static List<Header> readHeaders(MessageUnpacker unpacker) throws IOException {
        return MessageFields.readList(unpacker, source -> new Header(source.unpackString(), source.unpackString()));
    }

    static ErrorKind readErrorKind(MessageUnpacker unpacker) throws IOException {
        String name = unpacker.unpackString();
        try {
            return ErrorKind.valueOf(name);
        } catch (IllegalArgumentException e) {
            throw new IOException("expected an error kind but got \"" + name + "\"", e);
        }
    }
}
