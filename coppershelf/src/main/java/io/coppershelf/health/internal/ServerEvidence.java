package io.coppershelf.health.internal;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The evidence that one server is unhealthy, from the attempts that it serves. */
public final class ServerEvidence {
    private final LatencyComparison latency = new LatencyComparison();
    private final CumulativeSum timeouts = new CumulativeSum();
    private final ErrorComparison errors = new ErrorComparison();
    private final Map<String, MonitoredAttempt> inFlight = new LinkedHashMap<>();

    /** Adds an attempt that was dispatched. */
    public void dispatched(MonitoredAttempt attempt) {
        inFlight.put(attempt.attemptId(), attempt);
    }

    /** Removes and returns the attempt that ended. */
    public Optional<MonitoredAttempt> ended(String attemptId) {
        return Optional.ofNullable(inFlight.remove(attemptId));
    }

    /** Marks the attempts of the same route that were dispatched before the answered one as overtaken. */
    public void markOvertaken(MonitoredAttempt answered, long observedNanos) {
        for (MonitoredAttempt other : inFlight.values()) {
            if (other.route().equals(answered.route())
                    && other.ageNanos(observedNanos) > answered.ageNanos(observedNanos)) {
                other.recordOvertaken();
            }
        }
    }

    /** Records a service time; returns its log-likelihood ratio, positive if it is evidence for slowness. */
    public double recordAnswer(long nanos, TypicalServiceTime typical, long observedNanos) {
        double ratio = latency.record(nanos, typical, observedNanos);
        timeouts.add(Math.min(0, ratio), observedNanos);
        return ratio;
    }

    /** Records that an attempt ended without an answer, with the surprisal of its age in nats. */
    public void recordTimeout(double surprisal, long observedNanos) {
        timeouts.add(surprisal, observedNanos);
    }

    /** Sets the evidence of slowness in nats. */
    public void setSlowness(double nats, long observedNanos) {
        latency.set(nats, observedNanos);
    }

    /** Returns the comparison of errors. */
    public ErrorComparison errors() {
        return errors;
    }

    /** Returns the attempts in flight, the oldest first. */
    public Collection<MonitoredAttempt> inFlight() {
        return Collections.unmodifiableCollection(inFlight.values());
    }

    /** Lets old evidence decay. */
    public void decay(long observedNanos) {
        latency.decay(observedNanos);
        timeouts.decay(observedNanos);
        errors.decay(observedNanos);
    }

    /** Clears all evidence and ignores the attempts that are in flight. */
    public void clear(long observedNanos) {
        latency.set(0, observedNanos);
        timeouts.set(0, observedNanos);
        errors.clear();
        inFlight.values().forEach(MonitoredAttempt::ignore);
    }

    /** Returns whether an attempt is in flight that isn't ignored. */
    public boolean isAwaitingAnswer() {
        return inFlight.values().stream().anyMatch(attempt -> !attempt.isIgnored());
    }

    /** Returns the evidence in nats and its main cause. */
    public Finding finding(TypicalServiceTimes typicalTimes, double slowness, long observedNanos) {
        double stall = StallDetector.evidence(inFlight.values(), typicalTimes, slowness, observedNanos);
        double unanswered = stall + timeouts.nats();
        double slow = latency.evidence();
        double failing = errors.evidence();
        if (failing >= unanswered + slow) {
            return new Finding(failing, "errors");
        }
        return new Finding(unanswered + slow, unanswered >= slow ? "stalled" : "slow");
    }

    /**
     * Evidence against a server.
     *
     * @param nats its strength
     * @param cause the main cause
     */
    public record Finding(double nats, String cause) {}
}
