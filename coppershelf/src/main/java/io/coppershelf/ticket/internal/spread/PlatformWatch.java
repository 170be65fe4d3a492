package io.coppershelf.ticket.internal.spread;

import io.coppershelf.ticket.internal.spread.SpreadAction.ReadPlatform;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Decides when this VM reads the platform: a few VMs of each data centre wait for new tickets; the others read once at
 * their start, and stand in when nobody is heard to reach the platform.
 */
final class PlatformWatch {
    private static final Duration WATCH_WAIT = Duration.ofSeconds(2);
    private static final long READ_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long WHOLE_READ_NANOS = TimeUnit.MINUTES.toNanos(5);
    private static final long SHORTEST_STAND_IN_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long STAND_IN_NANOS_PER_VM = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long REPAIR_ROUNDS_UNTIL_STALE = 8;

    private final Random random;
    private long position;
    private boolean isReading;
    private boolean hasRead;
    private boolean hasMore;
    private boolean hasTried;
    private long readBeganNanos;
    private long nextReadNanos;
    private long freshestNanos;
    private long wholeReadNanos;

    PlatformWatch(Random random, long nowNanos) {
        this.random = random;
        nextReadNanos = nowNanos;
        freshestNanos = nowNanos;
        wholeReadNanos = nowNanos;
    }

    /** Returns whether this VM has read all that the platform had. */
    boolean hasRead() {
        return hasRead;
    }

    /** Returns whether a read has ended, well or not. */
    boolean hasAttemptedRead() {
        return hasTried;
    }

    /** Returns how long ago any VM heard of had an answer, in milliseconds. */
    long ageMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - freshestNanos));
    }

    /** Takes in how long ago the sender of a message knows of an answer. */
    void recordReportedAge(long ageMillis, long nowNanos) {
        long bounded = Math.max(0, Math.min(ageMillis, TimeUnit.DAYS.toMillis(1)));
        freshestNanos = Math.max(freshestNanos, nowNanos - TimeUnit.MILLISECONDS.toNanos(bounded));
    }

    /**
     * Returns the read to begin now.
     *
     * @param isWatcher whether this VM is one of those that watch
     * @param fleetSize the number of live VMs
     * @param repairNanos the time between two repairs of a VM
     */
    Optional<ReadPlatform> nextRead(boolean isWatcher, int fleetSize, long repairNanos, long nowNanos) {
        boolean isUnderWay = isReading && nowNanos - readBeganNanos < READ_LIMIT_NANOS;
        if (isUnderWay || nowNanos - nextReadNanos < 0) {
            return Optional.empty();
        }
        if (!hasRead || hasMore) {
            return Optional.of(begin(position, Duration.ZERO, nowNanos));
        }
        if (isWatcher) {
            return Optional.of(watch(nowNanos));
        }
        if (nowNanos - freshestNanos < REPAIR_ROUNDS_UNTIL_STALE * repairNanos) {
            return Optional.empty();
        }
        long interval = Math.max(SHORTEST_STAND_IN_NANOS, STAND_IN_NANOS_PER_VM * fleetSize);
        nextReadNanos = nowNanos + interval / 2 + random.nextLong(interval);
        return Optional.of(begin(position, Duration.ZERO, nowNanos));
    }

    /**
     * Takes in an answer. One that moves the position may be followed by more. A position below the one reached tells
     * of a stale or restored platform and is taken over. A platform that answers at once though nothing is new is not
     * asked again at once.
     */
    void recordAnswer(long newPosition, boolean isNew, long nowNanos) {
        ended();
        boolean isAtOnce = !isNew && nowNanos - readBeganNanos < RETRY_NANOS;
        if (isAtOnce || newPosition < position) {
            nextReadNanos = Math.max(nextReadNanos, nowNanos + RETRY_NANOS);
        }
        hasRead = true;
        position = newPosition;
        freshestNanos = Math.max(freshestNanos, nowNanos);
    }

    /** Takes in that there was no answer. */
    void recordFailure(long nowNanos) {
        ended();
        hasMore = false;
        nextReadNanos = Math.max(nextReadNanos, nowNanos + RETRY_NANOS / 2 + random.nextLong(RETRY_NANOS));
    }

    private void ended() {
        isReading = false;
        hasTried = true;
    }

    private ReadPlatform watch(long nowNanos) {
        if (nowNanos - wholeReadNanos >= WHOLE_READ_NANOS) {
            wholeReadNanos = nowNanos;
            return begin(0, Duration.ZERO, nowNanos);
        }
        return begin(position, WATCH_WAIT, nowNanos);
    }

    private ReadPlatform begin(long from, Duration watchTime, long nowNanos) {
        isReading = true;
        readBeganNanos = nowNanos;
        return new ReadPlatform(from, watchTime);
    }
}
