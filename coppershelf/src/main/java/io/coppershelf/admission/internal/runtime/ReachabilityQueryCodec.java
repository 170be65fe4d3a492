package io.coppershelf.admission.internal.runtime;

import io.coppershelf.peer.PeerMessageCodec;
import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes {@link ReachabilityQuery}. */
final class ReachabilityQueryCodec implements PeerMessageCodec<ReachabilityQuery> {
    private static final int TYPE_ID = 61;

    @Override
    public int typeId() {
        return TYPE_ID;
    }

    @Override
    public Class<ReachabilityQuery> type() {
        return ReachabilityQuery.class;
    }

    @Override
    public void write(ReachabilityQuery message, MessagePacker packer) throws IOException {
        packer.packString(message.server());
    }

    @Override
    public ReachabilityQuery read(MessageUnpacker unpacker) throws IOException {
        return new ReachabilityQuery(unpacker.unpackString());
    }
}
