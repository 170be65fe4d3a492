package io.coppershelf.poison;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The servers that crashed while they ran a request. Immutable.
 *
 * @param request the request
 * @param serverCodes the hashes that identify the servers and their incarnations
 * @param crashedNanos the monotonic time of the last crash
 */
public record CrashRecord(RequestFingerprint request, Set<Long> serverCodes, long crashedNanos) {
    /** Number of crashes from which the request is kept from the servers. */
    static final int CRASH_LIMIT = 3;
    /** Duration of the first quarantine; a request that was only in flight at three crashes is soon sent again. */
    private static final long FIRST_QUARANTINE_NANOS = TimeUnit.MINUTES.toNanos(1);
    /** Factor by which each further crash lengthens the quarantine. */
    private static final long QUARANTINE_FACTOR = 4;
    /** Longest quarantine; the servers may have been repaired meanwhile. */
    static final long MAX_QUARANTINE_NANOS = TimeUnit.HOURS.toNanos(1);

    /** Copies the codes. */
    public CrashRecord {
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
        return serverCodes.size() >= CRASH_LIMIT;
    }

    /** Returns a record of what both records state. */
    CrashRecord merge(CrashRecord other) {
        Set<Long> codes = new HashSet<>(serverCodes);
        codes.addAll(other.serverCodes);
        boolean isLater = crashedNanos - other.crashedNanos > 0;
        return new CrashRecord(request, codes, isLater ? crashedNanos : other.crashedNanos);
    }
}
