package io.coppershelf.peer.internal;

import io.coppershelf.peer.PeerMessage;
import io.coppershelf.peer.PeerMessageCodec;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * The fields that precede each message on the wire.
 *
 * @param typeId the type of the message
 * @param correlationId the id that a reply repeats, 0 if no reply is expected
 * @param kind one-way message, request or reply
 * @param stamp the hybrid logical clock of the sender
 */
record Envelope(int typeId, long correlationId, Kind kind, long stamp) {
    /** The role of a message in an exchange. */
    enum Kind {
        ONE_WAY(0),
        REQUEST(1),
        REPLY(2);

        private final int code;

        Kind(int code) {
            this.code = code;
        }

        private static Kind of(int code) throws IOException {
            for (Kind kind : values()) {
                if (kind.code == code) {
                    return kind;
                }
            }
            throw new IOException("unknown kind " + code + " of a message");
        }
    }

    /**
     * Returns the frame of the message, length included.
     *
     * @throws IOException if the codec can't write it
     */
    <T extends PeerMessage> ByteBuffer frame(PeerMessageCodec<T> codec, PeerMessage message) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(typeId).packLong(correlationId).packInt(kind.code);
            packer.packLong(stamp);
            codec.write(codec.type().cast(message), packer);
            byte[] body = packer.toByteArray();
            return ByteBuffer.allocate(Integer.BYTES + body.length)
                    .putInt(body.length)
                    .put(body)
                    .flip();
        }
    }

    /**
     * Reads the envelope; the fields of the message follow in the unpacker.
     *
     * @throws IOException if the bytes are not an envelope
     */
    static Envelope read(MessageUnpacker unpacker) throws IOException {
        int typeId = unpacker.unpackInt();
        long correlationId = unpacker.unpackLong();
        Kind kind = Kind.of(unpacker.unpackInt());
        return new Envelope(typeId, correlationId, kind, unpacker.unpackLong());
    }
}
