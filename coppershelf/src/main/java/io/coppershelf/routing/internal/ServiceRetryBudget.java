package io.coppershelf.routing.internal;

/**
 * Limits the retries of a service to a tenth of its first attempts, with a small burst. Not thread-safe.
 *
 * @see <a href="https://sre.google/sre-book/handling-overload/">Site Reliability Engineering, chapter 21, per-client
 *     retry budget</a>
 */
final class ServiceRetryBudget {
    private static final int FIRST_ATTEMPTS_PER_RETRY = 10;
    private static final int BURST_RETRIES = 5;
    private static final int MAX_CREDIT = BURST_RETRIES * FIRST_ATTEMPTS_PER_RETRY;

    private int credit = MAX_CREDIT;

    /** Counts one first attempt. */
    void recordFirstAttempt() {
        credit = Math.min(MAX_CREDIT, credit + 1);
    }

    /** Spends one retry; returns false if the budget is exhausted. */
    boolean trySpend() {
        if (credit < FIRST_ATTEMPTS_PER_RETRY) {
            return false;
        }
        credit -= FIRST_ATTEMPTS_PER_RETRY;
        return true;
    }
}
