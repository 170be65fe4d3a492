package io.coppershelf.health.internal;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The evidence against one server from the work that it does. */
public final class ServerEvidence {
    private final LatencyComparison latency = new LatencyComparison();
    private final CumulativeSum silence = new CumulativeSum();
    private final ErrorComparison errors = new ErrorComparison();
    private final Map<String, MonitoredAttempt> inFlight = new LinkedHashMap<>();

    /** Takes in a try that was dispatched. */
    public void dispatched(MonitoredAttempt watched) {
        inFlight.put(watched.attemptId(), watched);
    }

    /** Takes in that a try ended, and returns it. */
    public Optional<MonitoredAttempt> ended(String attemptId) {
        return Optional.ofNullable(inFlight.remove(attemptId));
    }

    /** Takes in an answer: the tries of its kind that were dispatched before it have been overtaken. */
    public void markOvertaken(MonitoredAttempt answered, long observedNanos) {
        for (MonitoredAttempt other : inFlight.values()) {
            if (other.route().equals(answered.route())
                    && other.ageNanos(observedNanos) > answered.ageNanos(observedNanos)) {
                other.recordOvertaken();
            }
        }
    }

    /** Takes in a service time; returns its log-likelihood ratio, positive if it speaks for slowness. */
    public double recordAnswer(long nanos, TypicalServiceTime usual, long observedNanos) {
        double ratio = latency.record(nanos, usual, observedNanos);
        silence.add(Math.min(0, ratio), observedNanos);
        return ratio;
    }

    /** Takes in that a try ended without an answer after a time that is so surprising, in nats. */
    public void recordTimeout(double surprise, long observedNanos) {
        silence.add(surprise, observedNanos);
    }

    /** Sets the evidence of slowness in nats. */
    public void setSlowness(double nats, long observedNanos) {
        latency.set(nats, observedNanos);
    }

    /** Returns the comparison of errors. */
    public ErrorComparison errors() {
        return errors;
    }

    /** Returns the tries in flight, the oldest first. */
    public Collection<MonitoredAttempt> inFlight() {
        return Collections.unmodifiableCollection(inFlight.values());
    }

    /** Lets old evidence fade. */
    public void decay(long observedNanos) {
        latency.decay(observedNanos);
        silence.decay(observedNanos);
        errors.decay(observedNanos);
    }

    /** Forgets all evidence; what is in flight says nothing any more. */
    public void clear(long observedNanos) {
        latency.set(0, observedNanos);
        silence.set(0, observedNanos);
        errors.clear();
        inFlight.values().forEach(MonitoredAttempt::ignore);
    }

    /** Returns whether a try is in flight that still says something. */
    public boolean isAwaitingAnswer() {
        return inFlight.values().stream().anyMatch(watched -> !watched.isIgnored());
    }

    /** Returns the evidence in nats and its main cause. */
    public Finding finding(TypicalServiceTimes usualTimes, double slowness, long observedNanos) {
        double stall = StallDetector.evidence(inFlight.values(), usualTimes, slowness, observedNanos);
        double silent = stall + silence.nats();
        double slow = latency.evidence();
        double failing = errors.evidence();
        if (failing >= silent + slow) {
            return new Finding(failing, "errors");
        }
        return new Finding(silent + slow, silent >= slow ? "stalled" : "slow");
    }

    /**
     * Evidence against a server.
     *
     * @param nats its strength
     * @param cause the main cause
     */
    public record Finding(double nats, String cause) {}
}
