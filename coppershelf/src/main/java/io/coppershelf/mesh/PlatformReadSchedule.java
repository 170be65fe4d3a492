package io.coppershelf.mesh;

import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Decides when this VM reads the platform itself. Each VM reads when what it knows has become too old, and the first
 * VMs in a shared order wait the least, so that one or two of them read for the whole fleet and the rest hear from
 * them. A VM that hears from nobody reads by itself, still in time for the bounds. Pure; not safe for several threads.
 */
public final class PlatformReadSchedule {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    /** The age at which the first VM reads; a fifth of the two seconds in which a change has to be in force. */
    private static final long FIRST_AGE_NANOS = 350 * MILLI;
    /** The age at which the second VM reads; the first one is late then. */
    private static final long SECOND_AGE_NANOS = 700 * MILLI;
    /** The age at which every other VM reads, half of the two seconds, so that a reading fits in. */
    private static final long OTHERS_AGE_NANOS = 1000 * MILLI;
    /** Spreads the readings of the others. */
    private static final long OTHERS_SPREAD_NANOS = 300 * MILLI;
    /** Until then a new VM does not know its place in the order. */
    private static final long SETTLING_NANOS = 2500 * MILLI;
    /** Pause after a first failed reading; it doubles with each further one. */
    private static final long FIRST_PAUSE_NANOS = 200 * MILLI;

    private static final long LONGEST_PAUSE_NANOS = 1500 * MILLI;
    private static final int MAX_DOUBLINGS = 3;

    private final Random random;
    private long confirmedNanos;
    private boolean isConfirmed;
    private long notBeforeNanos;
    private int failures;
    private long spreadNanos;

    /** Creates a schedule whose first reading is due at once. */
    public PlatformReadSchedule(Random random) {
        this.random = random;
    }

    /** Notes that what is known was current at a time, by an own reading or by a peer's. */
    public void markCurrent(long atNanos) {
        if (!isConfirmed || atNanos - confirmedNanos > 0) {
            confirmedNanos = atNanos;
            isConfirmed = true;
            spreadNanos = (long) (random.nextDouble() * OTHERS_SPREAD_NANOS);
        }
    }

    /** Notes that a reading of this VM succeeded. */
    public void readSucceeded() {
        failures = 0;
    }

    /** Notes that a reading of this VM failed. */
    public void readFailed(long nowNanos) {
        long pause = Math.min(LONGEST_PAUSE_NANOS, FIRST_PAUSE_NANOS << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        notBeforeNanos = nowNanos + pause / 2 + (long) (random.nextDouble() * pause);
    }

    /**
     * Returns whether a reading is due.
     *
     * @param rank the place of this VM in the shared order, from 0
     * @param vmAgeNanos the time since the start of this VM
     */
    public boolean isDue(int rank, long vmAgeNanos, long nowNanos) {
        if (failures > 0 && nowNanos - notBeforeNanos < 0) {
            return false;
        }
        return !isConfirmed || nowNanos - confirmedNanos >= dueAge(rank, vmAgeNanos);
    }

    /** Returns the age of what is known, empty before the first confirmation. */
    public OptionalLong ageNanos(long nowNanos) {
        return isConfirmed ? OptionalLong.of(nowNanos - confirmedNanos) : OptionalLong.empty();
    }

    private long dueAge(int rank, long vmAgeNanos) {
        boolean isSettled = vmAgeNanos >= SETTLING_NANOS;
        if (isSettled && rank == 0) {
            return FIRST_AGE_NANOS;
        }
        if (isSettled && rank == 1) {
            return SECOND_AGE_NANOS;
        }
        return OTHERS_AGE_NANOS + spreadNanos;
    }
}
