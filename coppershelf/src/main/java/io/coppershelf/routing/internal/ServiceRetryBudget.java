package io.coppershelf.routing.internal;

/**
 * Bounds the further tries of a service to a tenth of its first tries, with a small burst. Not safe for use by several
 * threads.
 *
 * @see <a href="https://sre.google/sre-book/handling-overload/">Site Reliability Engineering, chapter 21, per-client
 *     retry budget</a>
 */
final class ServiceRetryBudget {
    private static final int FIRST_TRIES_PER_RETRY = 10;
    private static final int BURST_RETRIES = 5;
    private static final int FULL = BURST_RETRIES * FIRST_TRIES_PER_RETRY;

    private int credit = FULL;

    /** Counts one first try. */
    void recordFirstAttempt() {
        credit = Math.min(FULL, credit + 1);
    }

    /** Takes one further try; returns false if the budget is used up. */
    boolean trySpend() {
        if (credit < FIRST_TRIES_PER_RETRY) {
            return false;
        }
        credit -= FIRST_TRIES_PER_RETRY;
        return true;
    }
}
