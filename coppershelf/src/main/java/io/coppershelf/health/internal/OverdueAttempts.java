package io.coppershelf.health.internal;

import java.util.List;

/** Finds the attempts on an unhealthy server that should be cancelled rather than waited for. */
final class OverdueAttempts {
    /** Smallest surprisal of an attempt's age at which the attempt is overdue. */
    private static final double OVERDUE_NATS = 6.0;

    private OverdueAttempts() {}

    /** Returns the idempotent attempts in flight that are overdue. */
    static List<MonitoredAttempt> of(ServerEvidence evidence, TypicalServiceTimes typicalTimes, long observedNanos) {
        return evidence.inFlight().stream()
                .filter(MonitoredAttempt::isIdempotent)
                .filter(attempt -> isOverdue(attempt, typicalTimes, observedNanos))
                .toList();
    }

    private static boolean isOverdue(MonitoredAttempt attempt, TypicalServiceTimes typicalTimes, long observedNanos) {
        return typicalTimes
                .typical(attempt.route())
                .map(typical -> typical.surprisal(attempt.ageNanos(observedNanos)) >= OVERDUE_NATS)
                .orElse(false);
    }
}
