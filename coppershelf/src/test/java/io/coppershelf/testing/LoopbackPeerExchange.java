package io.coppershelf.testing;

import io.coppershelf.membership.Vm;
import io.coppershelf.peer.PeerExchange;
import io.coppershelf.peer.PeerMessage;
import io.coppershelf.peer.PeerMessageCodec;
import io.coppershelf.peer.PeerReply;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** The peer exchange of one VM with itself: every message passes through its codec and can be lost by a fault. */
public final class LoopbackPeerExchange implements PeerExchange {
    private final Map<Class<?>, Registration<?>> registrations = new ConcurrentHashMap<>();
    private final String sender;

    /** The fault that is injected into requests. */
    public enum Fault {
        NONE,
        NOT_SENT,
        REQUEST_LOST,
        REPLY_LOST
    }

    public Fault fault = Fault.NONE;

    public LoopbackPeerExchange(String sender) {
        this.sender = sender;
    }

    @Override
    public void register(PeerMessageCodec<?> codec) {
        registrations.put(codec.type(), new Registration<>(codec, Optional.empty()));
    }

    @Override
    public <T extends PeerMessage> void register(PeerMessageCodec<T> codec, Handler<T> handler) {
        registrations.put(codec.type(), new Registration<>(codec, Optional.of(handler)));
    }

    @Override
    public void send(Vm target, PeerMessage message) {
        deliver(message, reply -> {});
    }

    @Override
    public CompletableFuture<PeerReply> request(Vm target, PeerMessage message, Duration timeout) {
        CompletableFuture<PeerReply> result = new CompletableFuture<>();
        if (fault == Fault.NOT_SENT) {
            result.complete(new PeerReply.NotSent());
            return result;
        }
        if (fault == Fault.REQUEST_LOST) {
            result.complete(new PeerReply.Lost());
            return result;
        }
        deliver(
                message,
                reply -> result.complete(
                        fault == Fault.REPLY_LOST ? new PeerReply.Lost() : new PeerReply.Received(copy(reply))));
        return result;
    }

    private void deliver(PeerMessage message, Replies replies) {
        Registration<?> registration = registrations.get(message.getClass());
        registration.handle(sender, copy(message), replies);
    }

    /** Returns the message as the other side decodes it. */
    public PeerMessage copy(PeerMessage message) {
        try {
            return registrations.get(message.getClass()).copy(message);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private record Registration<T extends PeerMessage>(PeerMessageCodec<T> codec, Optional<Handler<T>> handler) {
        PeerMessage copy(PeerMessage message) throws IOException {
            MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
            codec.write(codec.type().cast(message), packer);
            try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(packer.toByteArray())) {
                T read = codec.read(unpacker);
                if (unpacker.hasNext()) {
                    throw new IOException("bytes are left of " + message);
                }
                return read;
            }
        }

        void handle(String sender, PeerMessage message, Replies replies) {
            handler.orElseThrow().handle(sender, codec.type().cast(message), replies);
        }
    }
}
