package io.coppershelf.poison;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The servers that crashed while they ran requests with one fingerprint. Immutable.
 *
 * @param request the fingerprint
 * @param minVariants the number of different requests with this fingerprint that must have been at servers that crashed
 *     before it is quarantined: one if it is the most specific, else two, as a more specific one would do for one
 * @param variants the hashes of these requests
 * @param serverCodes the hashes that identify the servers and their incarnations
 * @param crashedNanos the monotonic time of the last crash
 */
public record CrashRecord(
        RequestFingerprint request, int minVariants, Set<Long> variants, Set<Long> serverCodes, long crashedNanos) {
    /** Number of crashes from which requests are kept from the servers. */
    static final int CRASH_LIMIT = 3;
    /** Duration of the first quarantine; a request that was only in flight at three crashes is soon sent again. */
    private static final long FIRST_QUARANTINE_NANOS = TimeUnit.MINUTES.toNanos(1);
    /** Factor by which each further crash lengthens the quarantine. */
    private static final long QUARANTINE_FACTOR = 4;
    /** Longest quarantine; the servers may have been repaired meanwhile. */
    static final long MAX_QUARANTINE_NANOS = TimeUnit.HOURS.toNanos(1);
    /** Largest number of hashes that are kept of each kind; more would change nothing. */
    private static final int MAX_HASHES = 16;

    /** Copies the hashes. */
    public CrashRecord {
        variants = Set.copyOf(variants);
        serverCodes = Set.copyOf(serverCodes);
    }

    /** Returns the remaining time for which no server may get the request, empty if it may be sent. */
    public Optional<Duration> quarantine(long nowNanos) {
        if (!hasReachedLimit()) {
            return Optional.empty();
        }
        long durationNanos = FIRST_QUARANTINE_NANOS;
        for (int i = CRASH_LIMIT; i < serverCodes.size() && durationNanos < MAX_QUARANTINE_NANOS; i++) {
            durationNanos *= QUARANTINE_FACTOR;
        }
        long remainingNanos = crashedNanos + Math.min(durationNanos, MAX_QUARANTINE_NANOS) - nowNanos;
        return remainingNanos > 0 ? Optional.of(Duration.ofNanos(remainingNanos)) : Optional.empty();
    }

    /** Returns whether the request has ever been quarantined. */
    boolean hasReachedLimit() {
        return serverCodes.size() >= CRASH_LIMIT && variants.size() >= minVariants;
    }

    /** Returns a record of what both records state. */
    CrashRecord merge(CrashRecord other) {
        boolean isLater = crashedNanos - other.crashedNanos > 0;
        return new CrashRecord(
                request,
                minVariants,
                union(variants, other.variants),
                union(serverCodes, other.serverCodes),
                isLater ? crashedNanos : other.crashedNanos);
    }

    /** Returns a record without servers that crashed under another request. */
    CrashRecord without(Set<Long> explainedCodes) {
        Set<Long> remaining = new HashSet<>(serverCodes);
        remaining.removeAll(explainedCodes);
        return new CrashRecord(request, minVariants, variants, remaining, crashedNanos);
    }

    private static Set<Long> union(Set<Long> one, Set<Long> other) {
        Set<Long> union = new HashSet<>(one);
        other.stream().filter(hash -> union.size() < MAX_HASHES).forEach(union::add);
        return union;
    }
}
