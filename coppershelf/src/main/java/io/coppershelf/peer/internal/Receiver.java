package io.coppershelf.peer.internal;

import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.peer.LinkFilter;
import io.coppershelf.peer.PeerExchange.Replies;
import io.coppershelf.peer.PeerMessage;
import io.coppershelf.peer.PeerReply;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Checks and decodes the messages of peers and passes them to their handlers. An invalid message is dropped and its
 * connection closed.
 */
final class Receiver {
    /** Message types below this id are accepted also from unknown senders: hello and membership. */
    private static final int FIRST_TYPE_FOR_KNOWN_SENDERS = 20;

    private static final long REPLY_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final CodecTable codecs;
    private final FleetView.Source fleet;
    private final LinkFilter filter;
    private final PeerMetrics metrics;
    private final TrafficThreads traffic;
    private final PeerClock clock;

    Receiver(
            CodecTable codecs,
            FleetView.Source fleet,
            LinkFilter filter,
            PeerMetrics metrics,
            TrafficThreads traffic,
            PeerClock clock) {
        this.codecs = codecs;
        this.fleet = fleet;
        this.filter = filter;
        this.metrics = metrics;
        this.traffic = traffic;
        this.clock = clock;
    }

    /**
     * Returns whether the fleet view contains this incarnation of the VM, or the VM with a still unknown incarnation.
     */
    boolean isKnown(Vm vm) {
        return fleet.current()
                .vm(vm.id())
                .filter(present -> present.incarnation() == 0 || present.incarnation() == vm.incarnation())
                .isPresent();
    }

    /**
     * Reads the first frame of a connection; drops the connection and returns empty if it is not a valid hello for it.
     */
    Optional<Hello> readHello(Connection connection, byte[] frame) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
            Envelope envelope = Envelope.read(unpacker);
            if (envelope.typeId() != Hello.CODEC.typeId()) {
                throw new IOException("the first message is of type " + envelope.typeId() + "; expected a hello");
            }
            Hello hello = Hello.CODEC.read(unpacker);
            if (hello.version() != Hello.VERSION) {
                throw new IOException("version " + hello.version() + "; expected " + Hello.VERSION);
            }
            Optional<DropReason> dropReason = findDropReason(connection, hello);
            dropReason.ifPresent(
                    reason -> drop(connection, reason, hello.sender().id()));
            return dropReason.isPresent() ? Optional.empty() : Optional.of(hello);
        } catch (IOException | RuntimeException e) {
            drop(connection, DropReason.GARBLED, e.toString());
            return Optional.empty();
        }
    }

    /** Handles one frame after the hello. */
    void receive(Connection connection, byte[] frame) {
        String sender = connection.remote().orElseThrow().id();
        if (!filter.passes(sender, fleet.current().self().id())) {
            return;
        }
        if (!traffic.offer(() -> decode(connection, frame))) {
            metrics.dropped(DropReason.BACKLOG_FULL, sender, "too many messages are queued");
        }
    }

    /** Passes a message of this VM to its own handler. */
    void handleLocally(String self, PeerMessage message, Replies replies) {
        CodecTable.Entry<?> entry = codecs.entryOf(message)
                .orElseThrow(() -> new IllegalStateException("no codec is registered for " + message.getClass()));
        traffic.execute(() -> entry.handle(self, message, replies));
    }

    /** Counts and logs the reason and closes the connection. */
    void drop(Connection connection, DropReason reason, String detail) {
        metrics.dropped(reason, connection.remote().map(Vm::id).orElse("an unknown peer"), detail);
        connection.close();
    }

    private Optional<DropReason> findDropReason(Connection connection, Hello hello) {
        Vm self = fleet.current().self();
        boolean isForSelf = matches(hello.target(), hello.targetIncarnation(), self);
        boolean isFromTarget = connection
                .target()
                .map(target -> matches(target.id(), target.incarnation(), hello.sender()))
                .orElse(true);
        if (!isForSelf || !isFromTarget) {
            return Optional.of(DropReason.WRONG_TARGET);
        }
        boolean isOld = fleet.current()
                .vm(hello.sender().id())
                .filter(present -> present.incarnation() > hello.sender().incarnation())
                .isPresent();
        return isOld ? Optional.of(DropReason.OLD_INCARNATION) : Optional.empty();
    }

    private static boolean matches(String id, long incarnation, Vm vm) {
        return id.isEmpty() || (id.equals(vm.id()) && (incarnation == 0 || incarnation == vm.incarnation()));
    }

    private void decode(Connection connection, byte[] frame) {
        Vm sender = connection.remote().orElseThrow();
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
            Envelope envelope = Envelope.read(unpacker);
            Optional<CodecTable.Entry<?>> entry = codecs.entry(envelope.typeId());
            if (entry.isEmpty()) {
                drop(connection, DropReason.UNKNOWN_TYPE, "type " + envelope.typeId());
                return;
            }
            clock.observe(envelope.stamp());
            if (envelope.kind() == Envelope.Kind.REPLY) {
                completeRequest(connection, envelope, entry.get(), unpacker);
                return;
            }
            if (envelope.typeId() >= FIRST_TYPE_FOR_KNOWN_SENDERS && !isKnown(sender)) {
                drop(connection, DropReason.UNKNOWN_SENDER, "type " + envelope.typeId());
                return;
            }
            handle(connection, envelope, entry.get(), unpacker);
        } catch (IOException | RuntimeException e) {
            drop(connection, DropReason.GARBLED, e.toString());
        }
    }

    private void completeRequest(
            Connection connection, Envelope envelope, CodecTable.Entry<?> entry, MessageUnpacker unpacker)
            throws IOException {
        PeerMessage message = entry.read(unpacker);
        Optional<OutboundFrame> request =
                Optional.ofNullable(connection.pending().remove(envelope.correlationId()));
        if (request.isEmpty()) {
            metrics.dropped(
                    DropReason.LATE_REPLY, connection.remote().map(Vm::id).orElse(""), "type " + envelope.typeId());
            return;
        }
        request.get().complete(new PeerReply.Received(message));
    }

    private void handle(Connection connection, Envelope envelope, CodecTable.Entry<?> entry, MessageUnpacker unpacker)
            throws IOException {
        if (!entry.hasHandler()) {
            throw new IOException("type " + envelope.typeId() + " is valid only as a reply");
        }
        PeerMessage message = entry.read(unpacker);
        String sender = connection.remote().orElseThrow().id();
        try {
            entry.handle(sender, message, repliesTo(connection, envelope));
        } catch (RuntimeException e) {
            metrics.dropped(DropReason.HANDLER_FAILED, sender, e.toString());
        }
    }

    private Replies repliesTo(Connection connection, Envelope envelope) {
        if (envelope.kind() == Envelope.Kind.ONE_WAY) {
            return reply -> {};
        }
        AtomicBoolean isReplied = new AtomicBoolean();
        return reply -> {
            if (isReplied.compareAndSet(false, true)) {
                reply(connection, envelope.correlationId(), reply);
            }
        };
    }

    private void reply(Connection connection, long correlationId, PeerMessage reply) {
        String self = fleet.current().self().id();
        if (!filter.passes(self, connection.remote().orElseThrow().id())) {
            return;
        }
        ByteBuffer frame = codecs.frame(reply, correlationId, Envelope.Kind.REPLY, clock.stamp());
        long now = System.nanoTime();
        connection.offer(OutboundFrame.oneWay(frame, now, now + REPLY_EXPIRY_NANOS));
    }
}
