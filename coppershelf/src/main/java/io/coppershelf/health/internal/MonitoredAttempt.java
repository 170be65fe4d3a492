package io.coppershelf.health.internal;

/** A try in flight as the health of its server sees it. */
public final class MonitoredAttempt {
    private final String attemptId;
    private final String route;
    private final boolean idempotent;
    private final long dispatchedNanos;
    private final long dispatchedObservedNanos;
    private int overtaken;
    private boolean cancelled;
    private boolean ignored;

    /** Returns a try that was dispatched at the given monotonic and observed times. */
    public MonitoredAttempt(String attemptId, String route, boolean idempotent, long nowNanos, long observedNanos) {
        this.attemptId = attemptId;
        this.route = route;
        this.idempotent = idempotent;
        this.dispatchedNanos = nowNanos;
        this.dispatchedObservedNanos = observedNanos;
    }

    /** Returns the id of the try. */
    public String attemptId() {
        return attemptId;
    }

    /** Returns the request kind. */
    public String route() {
        return route;
    }

    /** Returns whether the request may be repeated. */
    public boolean isIdempotent() {
        return idempotent;
    }

    /** Returns the observed age. */
    public long ageNanos(long observedNanos) {
        return observedNanos - dispatchedObservedNanos;
    }

    /** Returns the part of the age that was not observed. */
    public long unobservedNanos(long nowNanos, long observedNanos) {
        return (nowNanos - dispatchedNanos) - ageNanos(observedNanos);
    }

    /** Counts an answer of the same kind to a later try on the same server. */
    public void recordOvertaken() {
        overtaken++;
    }

    /** Returns the number of answers of the same kind to later tries on the same server. */
    public int overtakenCount() {
        return overtaken;
    }

    /** Marks the try as one that says nothing about its server any more. */
    public void ignore() {
        ignored = true;
    }

    /** Returns whether the try says nothing about its server any more. */
    public boolean isIgnored() {
        return ignored;
    }

    /** Marks the try as cancelled by the group; returns whether it was not so before. */
    public boolean markCancelled() {
        boolean first = !cancelled;
        cancelled = true;
        return first;
    }

    /** Returns whether the group cancelled it. */
    public boolean isCancelled() {
        return cancelled;
    }
}
