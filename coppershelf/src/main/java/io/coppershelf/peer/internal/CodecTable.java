package io.coppershelf.peer.internal;

import io.coppershelf.peer.PeerExchange.Handler;
import io.coppershelf.peer.PeerExchange.Replies;
import io.coppershelf.peer.PeerMessage;
import io.coppershelf.peer.PeerMessageCodec;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.msgpack.core.MessageUnpacker;

/** The message types of a process with their codecs and handlers. Thread-safe. */
final class CodecTable {
    private final ConcurrentMap<Integer, Entry<?>> byTypeId = new ConcurrentHashMap<>();
    private final ConcurrentMap<Class<?>, PeerMessageCodec<?>> byType = new ConcurrentHashMap<>();

    /**
     * Adds a message type.
     *
     * @throws IllegalStateException if its id or class is already registered
     */
    <T extends PeerMessage> void add(PeerMessageCodec<T> codec, Optional<Handler<T>> handler) {
        Entry<?> present = byTypeId.putIfAbsent(codec.typeId(), new Entry<>(codec, handler));
        if (present != null || byType.putIfAbsent(codec.type(), codec) != null) {
            throw new IllegalStateException("message type " + codec.typeId() + " is already registered");
        }
    }

    /** Returns the entry of a type id. */
    Optional<Entry<?>> entry(int typeId) {
        return Optional.ofNullable(byTypeId.get(typeId));
    }

    /** Returns the entry of the type of a message. */
    Optional<Entry<?>> entryOf(PeerMessage message) {
        return Optional.ofNullable(byType.get(message.getClass())).flatMap(codec -> entry(codec.typeId()));
    }

    /**
     * Returns the frame of a message.
     *
     * @throws IllegalStateException if its type is not registered or its codec fails
     */
    ByteBuffer frame(PeerMessage message, long correlationId, Envelope.Kind kind, long stamp) {
        PeerMessageCodec<?> codec = byType.get(message.getClass());
        if (codec == null) {
            throw new IllegalStateException("no codec is registered for " + message.getClass());
        }
        try {
            return new Envelope(codec.typeId(), correlationId, kind, stamp).frame(codec, message);
        } catch (IOException e) {
            throw new IllegalStateException("the codec of " + message.getClass() + " failed", e);
        }
    }

    /** One message type. */
    record Entry<T extends PeerMessage>(PeerMessageCodec<T> codec, Optional<Handler<T>> handler) {
        /**
         * Reads a message.
         *
         * @throws IOException if the bytes are not exactly one such message
         */
        PeerMessage read(MessageUnpacker unpacker) throws IOException {
            T message = codec.read(unpacker);
            if (unpacker.hasNext()) {
                throw new IOException("bytes follow a message of type " + codec.typeId());
            }
            return message;
        }

        /** Returns whether messages of the type may be more than replies. */
        boolean hasHandler() {
            return handler.isPresent();
        }

        void handle(String sender, PeerMessage message, Replies replies) {
            handler.orElseThrow().handle(sender, codec.type().cast(message), replies);
        }
    }
}
