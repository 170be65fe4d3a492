package io.coppershelf.admission.internal.runtime;

import io.coppershelf.peer.PeerMessageCodec;
import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes {@link ReachabilityReply}. */
final class ReachabilityReplyCodec implements PeerMessageCodec<ReachabilityReply> {
    private static final int TYPE_ID = 62;

    @Override
    public int typeId() {
        return TYPE_ID;
    }

    @Override
    public Class<ReachabilityReply> type() {
        return ReachabilityReply.class;
    }

    @Override
    public void write(ReachabilityReply message, MessagePacker packer) throws IOException {
        packer.packString(message.server());
        packer.packBoolean(message.reachable());
    }

    @Override
    public ReachabilityReply read(MessageUnpacker unpacker) throws IOException {
        return new ReachabilityReply(unpacker.unpackString(), unpacker.unpackBoolean());
    }
}
