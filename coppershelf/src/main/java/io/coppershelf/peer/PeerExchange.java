package io.coppershelf.peer;

import io.coppershelf.component.ComponentKey;
import io.coppershelf.membership.Vm;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends messages to peers and passes received ones to their handlers. Thread-safe. */
public interface PeerExchange {
    ComponentKey<PeerExchange> NAME = ComponentKey.named("peer", PeerExchange.class);

    /** Registers the codec of a message type that is used for replies only. */
    void register(PeerMessageCodec<?> codec);

    /** Registers the codec of a message type and the handler of messages and requests of that type. */
    <T extends PeerMessage> void register(PeerMessageCodec<T> codec, Handler<T> handler);

    /** Sends a message without a reply; it may be lost. */
    void send(Vm target, PeerMessage message);

    /**
     * Sends a message and completes with the typed result; never completes exceptionally.
     *
     * @param timeout the maximum time to wait for the reply
     */
    CompletableFuture<PeerReply> request(Vm target, PeerMessage message, Duration timeout);

    /**
     * Handles messages of one type on a traffic thread; it must not block.
     *
     * @param <T> the message type
     */
    interface Handler<T extends PeerMessage> {
        /**
         * Handles a message.
         *
         * @param sender the id of the VM that sent it
         * @param message the message
         * @param replies accepts the reply; ignored if the sender expects none
         */
        void handle(String sender, T message, Replies replies);
    }

    /** Accepts one reply to a message, from any thread. */
    interface Replies {
        /** Sends the reply. */
        void reply(PeerMessage message);
    }
}
