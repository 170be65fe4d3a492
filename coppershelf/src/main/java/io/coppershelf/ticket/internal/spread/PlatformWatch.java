package io.coppershelf.ticket.internal.spread;

import io.coppershelf.ticket.internal.spread.SpreadAction.ReadPlatform;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Decides when this VM reads the platform. A few VMs of each data centre watch it for new tickets. The others read it
 * once when they start, and again only when no VM is known to reach the platform.
 */
final class PlatformWatch {
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(2);
    private static final long READ_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long RETRY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long FULL_READ_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(5);
    private static final long MIN_FALLBACK_READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long FALLBACK_READ_INTERVAL_NANOS_PER_VM = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long REPAIR_ROUNDS_UNTIL_STALE = 8;

    private final Random random;
    private long position;
    private boolean isReading;
    private boolean hasRead;
    private boolean hasMore;
    private boolean hasAttemptedRead;
    private long readStartNanos;
    private long nextReadNanos;
    private long latestAnswerNanos;
    private long lastFullReadNanos;

    PlatformWatch(Random random, long nowNanos) {
        this.random = random;
        nextReadNanos = nowNanos;
        latestAnswerNanos = nowNanos;
        lastFullReadNanos = nowNanos;
    }

    /** Returns whether the platform has answered a read of this VM. */
    boolean hasRead() {
        return hasRead;
    }

    /** Returns whether a read has ended, with an answer or not. */
    boolean hasAttemptedRead() {
        return hasAttemptedRead;
    }

    /** Returns the age of the latest platform answer to any VM that this one knows of, in milliseconds. */
    long ageMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - latestAnswerNanos));
    }

    /** Records the age of the latest platform answer that a peer reported. */
    void recordReportedAge(long ageMillis, long nowNanos) {
        long cappedMillis = Math.max(0, Math.min(ageMillis, TimeUnit.DAYS.toMillis(1)));
        latestAnswerNanos = Math.max(latestAnswerNanos, nowNanos - TimeUnit.MILLISECONDS.toNanos(cappedMillis));
    }

    /**
     * Returns the read to start now, empty if none is due.
     *
     * @param isWatcher whether this VM is one of those that watch the platform
     * @param fleetSize the number of live VMs
     * @param repairIntervalNanos the interval between two repairs of a VM
     */
    Optional<ReadPlatform> nextRead(boolean isWatcher, int fleetSize, long repairIntervalNanos, long nowNanos) {
        boolean isInProgress = isReading && nowNanos - readStartNanos < READ_TIMEOUT_NANOS;
        if (isInProgress || nowNanos - nextReadNanos < 0) {
            return Optional.empty();
        }
        if (!hasRead || hasMore) {
            return Optional.of(startRead(position, Duration.ZERO, nowNanos));
        }
        if (isWatcher) {
            return Optional.of(watch(nowNanos));
        }
        if (nowNanos - latestAnswerNanos < REPAIR_ROUNDS_UNTIL_STALE * repairIntervalNanos) {
            return Optional.empty();
        }
        long interval = Math.max(MIN_FALLBACK_READ_INTERVAL_NANOS, FALLBACK_READ_INTERVAL_NANOS_PER_VM * fleetSize);
        nextReadNanos = nowNanos + interval / 2 + random.nextLong(interval);
        return Optional.of(startRead(position, Duration.ZERO, nowNanos));
    }

    /**
     * Records an answer. An answer that moves the position may be followed by more. A position below the current one
     * comes from a stale or restored platform and is adopted. After an immediate answer without anything new, the next
     * read waits for the retry delay.
     */
    void recordAnswer(long newPosition, boolean isNew, long nowNanos) {
        finishRead();
        boolean isImmediate = !isNew && nowNanos - readStartNanos < RETRY_DELAY_NANOS;
        if (isImmediate || newPosition < position) {
            nextReadNanos = Math.max(nextReadNanos, nowNanos + RETRY_DELAY_NANOS);
        }
        hasRead = true;
        position = newPosition;
        latestAnswerNanos = Math.max(latestAnswerNanos, nowNanos);
    }

    /** Records that a read failed. */
    void recordFailure(long nowNanos) {
        finishRead();
        hasMore = false;
        nextReadNanos = Math.max(nextReadNanos, nowNanos + RETRY_DELAY_NANOS / 2 + random.nextLong(RETRY_DELAY_NANOS));
    }

    private void finishRead() {
        isReading = false;
        hasAttemptedRead = true;
    }

    private ReadPlatform watch(long nowNanos) {
        if (nowNanos - lastFullReadNanos >= FULL_READ_INTERVAL_NANOS) {
            lastFullReadNanos = nowNanos;
            return startRead(0, Duration.ZERO, nowNanos);
        }
        return startRead(position, WATCH_TIMEOUT, nowNanos);
    }

    private ReadPlatform startRead(long from, Duration watchTime, long nowNanos) {
        isReading = true;
        readStartNanos = nowNanos;
        return new ReadPlatform(from, watchTime);
    }
}
