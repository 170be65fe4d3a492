package io.coppershelf.admission.internal.runtime;

import io.coppershelf.peer.PeerMessageCodec;
import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes {@link ForwardCancel}. */
final class ForwardCancelCodec implements PeerMessageCodec<ForwardCancel> {
    private static final int TYPE_ID = 42;

    @Override
    public int typeId() {
        return TYPE_ID;
    }

    @Override
    public Class<ForwardCancel> type() {
        return ForwardCancel.class;
    }

    @Override
    public void write(ForwardCancel message, MessagePacker packer) throws IOException {
        packer.packString(message.attemptId());
    }

    @Override
    public ForwardCancel read(MessageUnpacker unpacker) throws IOException {
        return new ForwardCancel(unpacker.unpackString());
    }
}
