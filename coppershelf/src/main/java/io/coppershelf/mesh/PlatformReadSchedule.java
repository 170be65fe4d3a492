package io.coppershelf.mesh;

import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Decides when this VM reads the platform itself. Each VM reads when its catalog has become too old, and the first VMs
 * in a shared order wait the least, so that one or two of them read for the whole fleet and the others receive the
 * changes from them. A VM that receives nothing reads the platform itself, still in time for the bounds. Free of I/O
 * and clocks; not thread-safe.
 */
public final class PlatformReadSchedule {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    /**
     * The age at which the first VM reads; under a fifth of the two seconds within which a change has to be in force.
     */
    private static final long FIRST_AGE_NANOS = 350 * MILLI;
    /** The age at which the second VM reads; the reading of the first one is overdue then. */
    private static final long SECOND_AGE_NANOS = 700 * MILLI;
    /** The age at which every other VM reads; half of the two seconds, so that there is time for a reading. */
    private static final long OTHERS_AGE_NANOS = 1000 * MILLI;
    /** Largest random delay, which spreads the readings of the other VMs. */
    private static final long OTHERS_JITTER_NANOS = 300 * MILLI;
    /** Time after its start in which a VM does not know its rank in the order. */
    private static final long SETTLING_NANOS = 2500 * MILLI;
    /** Mean pause after a first failed reading; it doubles with each further one. */
    private static final long FIRST_PAUSE_NANOS = 200 * MILLI;

    /**
     * Longest age of the catalog at which the platform counts as available; beyond it, several readings of all VMs have
     * failed.
     */
    private static final long OUTAGE_AGE_NANOS = 2000 * MILLI;

    private static final long MAX_PAUSE_NANOS = 1500 * MILLI;
    private static final int MAX_DOUBLINGS = 3;

    private final Random random;
    private long currentAtNanos;
    private boolean isConfirmed;
    private long notBeforeNanos;
    private int failures;
    private long jitterNanos;

    /** Creates a schedule whose first reading is due at once. */
    public PlatformReadSchedule(Random random) {
        this.random = random;
    }

    /** Records that the catalog was current at a time, as confirmed by a reading of this VM or of a peer. */
    public void markCurrent(long atNanos) {
        if (!isConfirmed || atNanos - currentAtNanos > 0) {
            currentAtNanos = atNanos;
            isConfirmed = true;
            // The platform answered some VM, so earlier failures say nothing about the next reading.
            failures = 0;
            jitterNanos = (long) (random.nextDouble() * OTHERS_JITTER_NANOS);
        }
    }

    /** Records that a reading of this VM failed. */
    public void readFailed(long nowNanos) {
        long pause = Math.min(MAX_PAUSE_NANOS, FIRST_PAUSE_NANOS << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        notBeforeNanos = nowNanos + pause / 2 + (long) (random.nextDouble() * pause);
    }

    /** Returns whether no reading of any VM has confirmed the catalog for so long that the platform has failed. */
    public boolean isOverdue(long nowNanos) {
        return ageNanos(nowNanos).orElse(0) > OUTAGE_AGE_NANOS;
    }

    /**
     * Returns whether a reading is due.
     *
     * @param rank the rank of this VM in the shared order, from 0
     * @param vmAgeNanos the time since the start of this VM
     */
    public boolean isDue(int rank, long vmAgeNanos, long nowNanos) {
        if (failures > 0 && nowNanos - notBeforeNanos < 0) {
            return false;
        }
        return !isConfirmed || nowNanos - currentAtNanos >= dueAge(rank, vmAgeNanos);
    }

    /** Returns the age of the catalog, empty before the first confirmation. */
    public OptionalLong ageNanos(long nowNanos) {
        return isConfirmed ? OptionalLong.of(nowNanos - currentAtNanos) : OptionalLong.empty();
    }

    private long dueAge(int rank, long vmAgeNanos) {
        boolean isSettled = vmAgeNanos >= SETTLING_NANOS;
        if (isSettled && rank == 0) {
            return FIRST_AGE_NANOS;
        }
        if (isSettled && rank == 1) {
            return SECOND_AGE_NANOS;
        }
        return OTHERS_AGE_NANOS + jitterNanos;
    }
}
