package io.coppershelf.mesh;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Sends messages to the VMs that need them. Confined to the control thread. */
final class FleetMessenger {
    /** Time after which the receivers are determined again; far below the time in which a VM is detected as down. */
    private static final long REFRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final EventLoop loop;
    private final Membership membership;
    private final BroadcastPacer pacer = new BroadcastPacer();
    private Optional<MeshSocket> socket = Optional.empty();
    private Optional<Audience> audience = Optional.empty();
    private int rank;
    private long refreshedNanos;

    FleetMessenger(EventLoop loop, Membership membership) {
        this.loop = loop;
        this.membership = membership;
    }

    /** Sends over this socket from now on; messages before are dropped. */
    void use(MeshSocket opened) {
        socket = Optional.of(opened);
    }

    /** Returns the receivers of reports. */
    Audience audience(long nowNanos) {
        if (audience.isEmpty() || nowNanos - refreshedNanos >= REFRESH_NANOS) {
            audience = Optional.of(membership.audience(nowNanos));
            rank = membership.rank(nowNanos);
            refreshedNanos = nowNanos;
        }
        return audience.get();
    }

    /** Returns the rank of this VM in the order in which the VMs read the platform. */
    int rank(long nowNanos) {
        audience(nowNanos);
        return rank;
    }

    /** Sends a message to one VM. */
    void send(InetSocketAddress receiver, MeshMessage message) {
        socket.ifPresent(open -> open.send(receiver, message));
    }

    /** Sends a message to all other VMs. */
    void sendToAll(MeshMessage message, long nowNanos) {
        socket.ifPresent(open -> broadcast(open, audience(nowNanos).all(), MeshCodec.encode(message), nowNanos));
    }

    private void broadcast(MeshSocket open, List<InetSocketAddress> receivers, byte[] bytes, long nowNanos) {
        int first = 0;
        for (BroadcastPacer.Batch batch : pacer.plan(receivers.size(), bytes.length, nowNanos)) {
            List<InetSocketAddress> batchReceivers = receivers.subList(first, first + batch.count());
            first += batch.count();
            if (batch.delayNanos() == 0) {
                open.send(batchReceivers, bytes);
            } else {
                loop.schedule(() -> open.send(batchReceivers, bytes), batch.delayNanos(), TimeUnit.NANOSECONDS);
            }
        }
    }

    /** Sends a report on servers of a data centre to the VMs that need it. */
    void sendReport(String dataCentre, MeshMessage report, long nowNanos) {
        socket.ifPresent(open -> open.send(audience(nowNanos).ofServersIn(dataCentre), report));
    }

    /** Sends a summary of the own data centre's servers to VMs of other data centres. */
    void sendSummary(MeshMessage summary, long nowNanos) {
        socket.ifPresent(open -> open.send(audience(nowNanos).summaryReceivers(), summary));
    }
}
