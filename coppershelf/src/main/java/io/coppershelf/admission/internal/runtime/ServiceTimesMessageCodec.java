package io.coppershelf.admission.internal.runtime;

import io.coppershelf.peer.PeerMessageCodec;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes {@link ServiceTimesMessage}. */
final class ServiceTimesMessageCodec implements PeerMessageCodec<ServiceTimesMessage> {
    private static final int TYPE_ID = 60;
    private static final int MOST_ROUTES = 1_000;

    @Override
    public int typeId() {
        return TYPE_ID;
    }

    @Override
    public Class<ServiceTimesMessage> type() {
        return ServiceTimesMessage.class;
    }

    @Override
    public void write(ServiceTimesMessage message, MessagePacker packer) throws IOException {
        packer.packString(message.service());
        packer.packMapHeader(message.usualNanos().size());
        for (Map.Entry<String, Long> entry : message.usualNanos().entrySet()) {
            packer.packString(entry.getKey());
            packer.packLong(entry.getValue());
        }
    }

    @Override
    public ServiceTimesMessage read(MessageUnpacker unpacker) throws IOException {
        String service = unpacker.unpackString();
        int count = unpacker.unpackMapHeader();
        if (count > MOST_ROUTES) {
            throw new IOException("expected at most " + MOST_ROUTES + " routes but got " + count);
        }
        Map<String, Long> usualNanos = new HashMap<>();
        for (int i = 0; i < count; i++) {
            usualNanos.put(unpacker.unpackString(), unpacker.unpackLong());
        }
        return new ServiceTimesMessage(service, usualNanos);
    }
}
