package io.coppershelf.poison;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * The requests under which servers crashed, as seen by all VMs. A request under which several servers crashed is
 * quarantined: no further server gets it for some time, and each crash after that lengthens the time. A request that
 * was in flight on a server that crashed for another reason is cleared by its next success. Thread-safe.
 */
public final class CrashRecords {
    /** Time after the last crash at which a request is forgotten; the longest quarantine is over by then. */
    static final long RETENTION_NANOS = CrashRecord.MAX_QUARANTINE_NANOS + TimeUnit.HOURS.toNanos(1);
    /** Largest number of requests on record, which take about 300 KB. */
    static final int MAX_RECORDS = 1000;

    private static final Comparator<CrashRecord> LEAST_RELEVANT_FIRST =
            Comparator.comparing(CrashRecord::hasReachedLimit).thenComparingLong(CrashRecord::crashedNanos);

    private final Map<RequestFingerprint, CrashRecord> records = new HashMap<>();
    /** The heads of all requests on record, so that most requests need no further check. */
    private volatile Set<Long> heads = Set.of();

    /** Returns whether no request is on record. */
    public boolean isEmpty() {
        return heads.isEmpty();
    }

    /** Returns whether a request with this head is on record. */
    public boolean hasHead(long head) {
        return heads.contains(head);
    }

    /** Returns the record of a request, empty if there is none. */
    public synchronized Optional<CrashRecord> record(RequestFingerprint request) {
        return Optional.ofNullable(records.get(request));
    }

    /** Returns the remaining time for which no server may get the request, empty if it may be sent. */
    public Optional<Duration> quarantine(RequestFingerprint request, long nowNanos) {
        return record(request).flatMap(record -> record.quarantine(nowNanos));
    }

    /** Records that a server crashed while it ran the request; returns the complete record of the request. */
    public CrashRecord recordCrash(RequestFingerprint request, long serverCode, long nowNanos) {
        return add(new CrashRecord(request, Set.of(serverCode), nowNanos), nowNanos);
    }

    /** Adds what another VM has on record; returns the complete record of the request. */
    public synchronized CrashRecord add(CrashRecord other, long nowNanos) {
        records.values().removeIf(record -> nowNanos - record.crashedNanos() >= RETENTION_NANOS);
        CrashRecord merged = records.merge(other.request(), other, CrashRecord::merge);
        if (records.size() > MAX_RECORDS) {
            records.remove(
                    Collections.min(records.values(), LEAST_RELEVANT_FIRST).request());
        }
        updateHeads();
        return merged;
    }

    /** Removes the record of a request that a server has run to a good end; returns whether there was one. */
    public synchronized boolean clear(RequestFingerprint request) {
        boolean isKnown = records.remove(request) != null;
        updateHeads();
        return isKnown;
    }

    /** Returns a random selection of the requests that were ever quarantined. */
    public synchronized List<CrashRecord> quarantined(int limit, Random random) {
        List<CrashRecord> quarantined = new ArrayList<>(records.values());
        quarantined.removeIf(record -> !record.hasReachedLimit());
        Collections.shuffle(quarantined, random);
        return List.copyOf(quarantined.subList(0, Math.min(limit, quarantined.size())));
    }

    private void updateHeads() {
        heads = records.keySet().stream().map(RequestFingerprint::head).collect(Collectors.toUnmodifiableSet());
    }
}
