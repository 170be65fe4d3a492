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
    private static final int MAX_ROUTES = 1_000;

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
        packer.packMapHeader(message.typicalNanos().size());
        for (Map.Entry<String, Long> entry : message.typicalNanos().entrySet()) {
            packer.packString(entry.getKey());
            packer.packLong(entry.getValue());
        }
    }

    @Override
    public ServiceTimesMessage read(MessageUnpacker unpacker) throws IOException {
        String service = unpacker.unpackString();
        int count = unpacker.unpackMapHeader();
        if (count > MAX_ROUTES) {
            throw new IOException("expected at most " + MAX_ROUTES + " routes but got " + count);
        }
        Map<String, Long> typicalNanos = new HashMap<>();
        for (int i = 0; i < count; i++) {
            typicalNanos.put(unpacker.unpackString(), unpacker.unpackLong());
        }
        return new ServiceTimesMessage(service, typicalNanos);
    }
}
