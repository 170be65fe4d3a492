package io.coppershelf.health.internal;

import java.util.List;

/** Finds the tries that are not worth waiting for on a sick server. */
final class OverdueAttempts {
    /** A try that is so surprisingly late is overdue. */
    private static final double OVERDUE_NATS = 6.0;

    private OverdueAttempts() {}

    /** Returns the tries in flight that may be repeated and are overdue. */
    static List<MonitoredAttempt> of(ServerEvidence evidence, TypicalServiceTimes usualTimes, long observedNanos) {
        return evidence.inFlight().stream()
                .filter(MonitoredAttempt::isIdempotent)
                .filter(watched -> isOverdue(watched, usualTimes, observedNanos))
                .toList();
    }

    private static boolean isOverdue(MonitoredAttempt watched, TypicalServiceTimes usualTimes, long observedNanos) {
        return usualTimes
                .typical(watched.route())
                .map(usual -> usual.surprisal(watched.ageNanos(observedNanos)) >= OVERDUE_NATS)
                .orElse(false);
    }
}
