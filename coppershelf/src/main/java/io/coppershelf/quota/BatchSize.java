package io.coppershelf.quota;

/**
 * The time for which a VM requests tokens in advance. A VM with many requests a second asks for more at once, so that
 * its messages stay few; one with few keeps the tokens of a short time only, since tokens that it holds are missing
 * elsewhere. Not thread-safe.
 */
final class BatchSize {
    private static final double MIN_SECONDS = 0.3;
    /** Tokens expire 1 s after they were requested; those of a larger batch would often be returned unused. */
    private static final double MAX_SECONDS = 0.9;
    /** Requests a second of the VM up to which batches are smallest; several times those of the present deployments. */
    private static final double SMALLEST_UP_TO_PER_SECOND = 50;

    private final DemandEstimate demand = new DemandEstimate();

    /** Records a request of any tenant. */
    void record(long nowNanos) {
        demand.record(nowNanos);
    }

    /** Returns the time that the tokens of a request should last. */
    double seconds(long nowNanos) {
        double grown = MIN_SECONDS * demand.perSecond(nowNanos) / SMALLEST_UP_TO_PER_SECOND;
        return Math.max(MIN_SECONDS, Math.min(MAX_SECONDS, grown));
    }
}
