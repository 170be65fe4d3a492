package io.coppershelf.mesh;

import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import io.coppershelf.poison.CrashRecord;
import io.coppershelf.poison.CrashRecords;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Exchanges the requests under which servers crashed with other VMs. A crash is reported to all of them at once. The
 * quarantined requests are repeated to a random VM with each gossip message, so that VMs that start, or have missed a
 * report, learn of them within seconds. Confined to the control thread.
 */
final class CrashReporting {
    /** Largest number of requests in a repetition, which keeps it to about 1 KB. */
    private static final int MAX_REPEATED = 16;

    private final FleetMessenger messenger;
    private final CrashRecords crashes;
    private final Supplier<Optional<InetSocketAddress>> nextPeer;
    private final Random random;
    private final EventLog log;

    /**
     * Creates an instance.
     *
     * @param nextPeer chooses a random live VM, empty if none is known
     */
    CrashReporting(
            FleetMessenger messenger,
            CrashRecords crashes,
            Supplier<Optional<InetSocketAddress>> nextPeer,
            Random random,
            EventLog log) {
        this.messenger = messenger;
        this.crashes = crashes;
        this.nextPeer = nextPeer;
        this.random = random;
        this.log = log;
    }

    /** Reports a request of this VM under which a server crashed. */
    void report(CrashRecord record) {
        long now = System.nanoTime();
        messenger.sendToAll(message(List.of(record), now), now);
    }

    /** Reports a request of this VM that was cleared. */
    void report(MeshMessage.RequestCleared cleared) {
        messenger.sendToAll(cleared, System.nanoTime());
    }

    /** Repeats quarantined requests to another VM. */
    void gossip(long nowNanos) {
        List<CrashRecord> quarantined = crashes.quarantined(MAX_REPEATED, random);
        if (!quarantined.isEmpty()) {
            nextPeer.get().ifPresent(peer -> messenger.send(peer, message(quarantined, nowNanos)));
        }
    }

    /** Applies what another VM reports. */
    void apply(InetSocketAddress sender, MeshMessage.RequestCrashes reported) {
        long now = System.nanoTime();
        reported.requests().forEach(crash -> add(sender, record(crash, now), now));
    }

    /** Applies that another VM has cleared a request. */
    void apply(MeshMessage.RequestCleared cleared) {
        crashes.clear(cleared.request());
    }

    private void add(InetSocketAddress sender, CrashRecord reported, long nowNanos) {
        boolean wasQuarantined =
                crashes.quarantine(reported.request(), nowNanos).isPresent();
        CrashRecord merged = crashes.add(reported, nowNanos);
        if (wasQuarantined || merged.quarantine(nowNanos).isEmpty()) {
            return;
        }
        log.important(
                "request-quarantined",
                Fields.of(
                        "fingerprint", merged.request(),
                        "crashes", merged.serverCodes().size(),
                        "source", sender));
        if (reported.quarantine(nowNanos).isEmpty()) {
            // Each VM may know of other crashes, if a report was lost; only together they are enough.
            messenger.sendToAll(message(List.of(merged), nowNanos), nowNanos);
        }
    }

    private static MeshMessage message(List<CrashRecord> records, long nowNanos) {
        return new MeshMessage.RequestCrashes(records.stream()
                .map(record -> new MeshMessage.RequestCrash(
                        record.request(),
                        List.copyOf(record.serverCodes()),
                        TimeUnit.NANOSECONDS.toMillis(nowNanos - record.crashedNanos())))
                .toList());
    }

    private static CrashRecord record(MeshMessage.RequestCrash crash, long nowNanos) {
        return new CrashRecord(
                crash.request(),
                new HashSet<>(crash.serverCodes()),
                nowNanos - TimeUnit.MILLISECONDS.toNanos(crash.crashedMillis()));
    }
}
