package io.coppershelf.poison;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * The requests under which servers crashed, as seen by all VMs. A request under which several servers crashed is
 * quarantined: no further server gets it for some time, and each crash after that lengthens the time. These crashes
 * then no longer count against other requests that were in flight on the servers. A request that was in flight on a
 * server that crashed for another reason is cleared by its next success. Thread-safe.
 */
public final class CrashRecords {
    /** Time after the last crash at which a request is forgotten; the longest quarantine is over by then. */
    static final long RETENTION_NANOS = CrashRecord.MAX_QUARANTINE_NANOS + TimeUnit.HOURS.toNanos(1);
    /** Largest number of fingerprints on record, which take about 500 KB. */
    static final int MAX_RECORDS = 1000;

    private static final Comparator<CrashRecord> LEAST_RELEVANT_FIRST =
            Comparator.comparing(CrashRecord::hasReachedLimit).thenComparingLong(CrashRecord::crashedNanos);

    private final Map<RequestFingerprint, CrashRecord> records = new HashMap<>();
    /** The heads of all fingerprints on record, so that most requests need no further check. */
    private volatile Set<Long> heads = Set.of();

    /** Returns whether no request is on record, so that none needs a check. */
    public boolean isEmpty() {
        return heads.isEmpty();
    }

    /** Returns whether servers crashed under the request, or under similar ones. */
    public boolean isOnRecord(RequestIdentity request) {
        return mayBeOnRecord(request)
                && request.fingerprints().stream()
                        .anyMatch(fingerprint -> record(fingerprint).isPresent());
    }

    /** Returns the record of a fingerprint, empty if there is none. */
    public synchronized Optional<CrashRecord> record(RequestFingerprint fingerprint) {
        return Optional.ofNullable(records.get(fingerprint));
    }

    /** Returns the remaining time for which no server may get the request, empty if it may be sent. */
    public Optional<Duration> quarantine(RequestIdentity request, long nowNanos) {
        if (!mayBeOnRecord(request)) {
            return Optional.empty();
        }
        return request.fingerprints().stream()
                .flatMap(fingerprint -> record(fingerprint).stream())
                .flatMap(record -> record.quarantine(nowNanos).stream())
                .max(Comparator.naturalOrder());
    }

    /** Records that a server crashed while it ran the request; returns the records of its fingerprints. */
    public List<CrashRecord> recordCrash(RequestIdentity request, long serverCode, long nowNanos) {
        List<CrashRecord> crashes = new ArrayList<>();
        for (RequestFingerprint fingerprint : request.fingerprints()) {
            int minVariants = crashes.isEmpty() ? 1 : 2;
            long variant = crashes.isEmpty()
                    ? fingerprint.head()
                    : crashes.get(crashes.size() - 1).request().head();
            crashes.add(new CrashRecord(fingerprint, minVariants, Set.of(variant), Set.of(serverCode), nowNanos));
        }
        return add(crashes, nowNanos);
    }

    /** Adds what another VM has on record; returns the complete records of these fingerprints, if they have any. */
    public synchronized List<CrashRecord> add(List<CrashRecord> reported, long nowNanos) {
        records.values().removeIf(record -> nowNanos - record.crashedNanos() >= RETENTION_NANOS);
        for (CrashRecord record : reported) {
            records.merge(record.request(), record, CrashRecord::merge);
            // More specific fingerprints come first, and explain the crashes that the others share with them.
            removeExplained();
        }
        while (records.size() > MAX_RECORDS) {
            records.remove(
                    Collections.min(records.values(), LEAST_RELEVANT_FIRST).request());
        }
        updateHeads();
        return reported.stream()
                .map(record -> records.get(record.request()))
                .filter(Objects::nonNull)
                .toList();
    }

    /** Removes the records of a request that a server has completed; returns whether there was one. */
    public synchronized boolean clear(List<RequestFingerprint> fingerprints) {
        boolean isKnown = records.keySet().removeAll(fingerprints);
        updateHeads();
        return isKnown;
    }

    /** Returns a random selection of the fingerprints that were ever quarantined. */
    public synchronized List<CrashRecord> quarantined(int limit, Random random) {
        List<CrashRecord> quarantined = new ArrayList<>(records.values());
        quarantined.removeIf(record -> !record.hasReachedLimit());
        Collections.shuffle(quarantined, random);
        return List.copyOf(quarantined.subList(0, Math.min(limit, quarantined.size())));
    }

    private boolean mayBeOnRecord(RequestIdentity request) {
        Set<Long> known = heads;
        return !known.isEmpty() && request.heads().stream().anyMatch(known::contains);
    }

    private void removeExplained() {
        Set<Long> explained = records.values().stream()
                .filter(CrashRecord::hasReachedLimit)
                .flatMap(record -> record.serverCodes().stream())
                .collect(Collectors.toSet());
        if (!explained.isEmpty()) {
            records.replaceAll((fingerprint, record) -> record.hasReachedLimit() ? record : record.without(explained));
            records.values().removeIf(record -> record.serverCodes().isEmpty());
        }
    }

    private void updateHeads() {
        heads = records.keySet().stream().map(RequestFingerprint::head).collect(Collectors.toUnmodifiableSet());
    }
}
