package io.coppershelf.peer.internal;

import io.coppershelf.peer.PeerReply;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * A frame to be sent. Whether a byte of it may have been sent is decided once, by the first call of
 * {@link #beginWrite}, right before its first write, or {@link #fail}.
 */
final class OutboundFrame {
    private enum State {
        QUEUED,
        BEGUN,
        ENDED
    }

    private final ByteBuffer frame;
    private final long correlationId;
    private final long createdNanos;
    private final long expiryNanos;
    private final Optional<Consumer<PeerReply>> listener;
    private final AtomicReference<State> state = new AtomicReference<>(State.QUEUED);

    private OutboundFrame(
            ByteBuffer frame,
            long correlationId,
            long createdNanos,
            long expiryNanos,
            Optional<Consumer<PeerReply>> listener) {
        this.frame = frame;
        this.correlationId = correlationId;
        this.createdNanos = createdNanos;
        this.expiryNanos = expiryNanos;
        this.listener = listener;
    }

    /** Returns a frame that expects no reply. */
    static OutboundFrame oneWay(ByteBuffer frame, long nowNanos, long expiryNanos) {
        return new OutboundFrame(frame, 0, nowNanos, expiryNanos, Optional.empty());
    }

    /** Returns a request; the listener is notified once of its result. */
    static OutboundFrame request(
            ByteBuffer frame, long correlationId, long nowNanos, long expiryNanos, Consumer<PeerReply> listener) {
        return new OutboundFrame(frame, correlationId, nowNanos, expiryNanos, Optional.of(listener));
    }

    ByteBuffer frame() {
        return frame;
    }

    long correlationId() {
        return correlationId;
    }

    long createdNanos() {
        return createdNanos;
    }

    boolean isRequest() {
        return listener.isPresent();
    }

    boolean isExpired(long nowNanos) {
        return nowNanos - expiryNanos >= 0;
    }

    /** Returns whether to write the frame now; after that, a failure no longer counts as not sent. */
    boolean beginWrite(long nowNanos) {
        if (isExpired(nowNanos)) {
            fail();
            return false;
        }
        return state.compareAndSet(State.QUEUED, State.BEGUN);
    }

    /** Ends the exchange with a reply. */
    void complete(PeerReply.Received received) {
        if (state.getAndSet(State.ENDED) != State.ENDED) {
            listener.ifPresent(present -> present.accept(received));
        }
    }

    /** Ends the exchange without a reply: as not sent if no byte can have been sent, else as lost. */
    void fail() {
        State before = state.getAndSet(State.ENDED);
        if (before == State.ENDED) {
            return;
        }
        PeerReply result = before == State.QUEUED ? new PeerReply.NotSent() : new PeerReply.Lost();
        listener.ifPresent(present -> present.accept(result));
    }
}
