package io.coppershelf.health.internal;

/** An attempt in flight, with what the health of its server needs to judge it. */
public final class MonitoredAttempt {
    private final String attemptId;
    private final String route;
    private final boolean idempotent;
    private final long dispatchedNanos;
    private final long dispatchedObservedNanos;
    private int overtaken;
    private boolean cancelled;
    private boolean ignored;

    /** Creates an attempt that was dispatched at the given monotonic and observed times. */
    public MonitoredAttempt(String attemptId, String route, boolean idempotent, long nowNanos, long observedNanos) {
        this.attemptId = attemptId;
        this.route = route;
        this.idempotent = idempotent;
        this.dispatchedNanos = nowNanos;
        this.dispatchedObservedNanos = observedNanos;
    }

    /** Returns the id of the attempt. */
    public String attemptId() {
        return attemptId;
    }

    /** Returns the route. */
    public String route() {
        return route;
    }

    /** Returns whether the request may be retried. */
    public boolean isIdempotent() {
        return idempotent;
    }

    /** Returns the age in observed time. */
    public long ageNanos(long observedNanos) {
        return observedNanos - dispatchedObservedNanos;
    }

    /** Returns the part of the age that was not observed. */
    public long unobservedNanos(long nowNanos, long observedNanos) {
        return (nowNanos - dispatchedNanos) - ageNanos(observedNanos);
    }

    /** Counts an answer on the same route to a later attempt on the same server. */
    public void recordOvertaken() {
        overtaken++;
    }

    /** Returns the number of answers on the same route to later attempts on the same server. */
    public int overtakenCount() {
        return overtaken;
    }

    /** Excludes the attempt from the evidence on its server. */
    public void ignore() {
        ignored = true;
    }

    /** Returns whether the attempt is excluded from the evidence on its server. */
    public boolean isIgnored() {
        return ignored;
    }

    /** Marks the attempt as cancelled by the group; returns whether it was not marked before. */
    public boolean markCancelled() {
        boolean first = !cancelled;
        cancelled = true;
        return first;
    }

    /** Returns whether the group cancelled the attempt. */
    public boolean isCancelled() {
        return cancelled;
    }
}
