package io.coppershelf.mesh;

import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import io.coppershelf.poison.CrashRecord;
import io.coppershelf.poison.CrashRecords;
import io.coppershelf.poison.RequestFingerprint;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;

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

    /** Reports the fingerprints of a request of this VM under which a server crashed. */
    void report(List<CrashRecord> records) {
        long now = System.nanoTime();
        messenger.sendToAll(message(records, now), now);
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
        List<CrashRecord> records =
                reported.requests().stream().map(crash -> record(crash, now)).toList();
        Set<RequestFingerprint> quarantinedBefore = records.stream()
                .map(CrashRecord::request)
                .filter(fingerprint -> isQuarantined(fingerprint, now))
                .collect(Collectors.toSet());
        for (CrashRecord merged : crashes.add(records, now)) {
            boolean isNew = merged.quarantine(now).isPresent() && !quarantinedBefore.contains(merged.request());
            if (isNew) {
                quarantined(sender, merged, records, now);
            }
        }
    }

    /** Applies that another VM has cleared a request. */
    void apply(MeshMessage.RequestCleared cleared) {
        crashes.clear(cleared.fingerprints());
    }

    private boolean isQuarantined(RequestFingerprint fingerprint, long nowNanos) {
        return crashes.record(fingerprint)
                .flatMap(record -> record.quarantine(nowNanos))
                .isPresent();
    }

    private void quarantined(InetSocketAddress sender, CrashRecord record, List<CrashRecord> reported, long nowNanos) {
        log.important(
                "request-quarantined",
                Fields.of(
                        "fingerprint",
                        record.request(),
                        "crashes",
                        record.serverCodes().size(),
                        "variants",
                        record.variants().size(),
                        "source",
                        sender));
        boolean isKnownToSender = reported.stream()
                .filter(other -> other.request().equals(record.request()))
                .anyMatch(other -> other.quarantine(nowNanos).isPresent());
        if (!isKnownToSender) {
            // Each VM may know of other crashes, if a report was lost; only together they are enough.
            messenger.sendToAll(message(List.of(record), nowNanos), nowNanos);
        }
    }

    private static MeshMessage message(List<CrashRecord> records, long nowNanos) {
        return new MeshMessage.RequestCrashes(records.stream()
                .map(record -> new MeshMessage.RequestCrash(
                        record.request(),
                        record.minVariants(),
                        List.copyOf(record.variants()),
                        List.copyOf(record.serverCodes()),
                        TimeUnit.NANOSECONDS.toMillis(nowNanos - record.crashedNanos())))
                .toList());
    }

    private static CrashRecord record(MeshMessage.RequestCrash crash, long nowNanos) {
        return new CrashRecord(
                crash.request(),
                crash.minVariants(),
                new HashSet<>(crash.variants()),
                new HashSet<>(crash.serverCodes()),
                nowNanos - TimeUnit.MILLISECONDS.toNanos(crash.crashedMillis()));
    }
}
