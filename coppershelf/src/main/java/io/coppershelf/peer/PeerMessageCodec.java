package io.coppershelf.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads and writes one type of message.
 *
 * <p>Type ids are fixed by package: 1-19 peer and membership, 20-39 ticket, 40-59 admission (forwarding), 60-79 health,
 * 80-99 floor, 100-119 claim, 120-139 operator.
 *
 * @param <T> the message type
 */
public interface PeerMessageCodec<T extends PeerMessage> {
    /** Returns the id of the type on the wire. */
    int typeId();

    /** Returns the message type. */
    Class<T> type();

    /** Writes the fields of the message. */
    void write(T message, MessagePacker packer) throws IOException;

    /**
     * Reads the fields of a message.
     *
     * @throws IOException if the bytes are not such a message
     */
    T read(MessageUnpacker unpacker) throws IOException;
}
