package io.coppershelf.ticket.internal.spread;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.operator.Timeline;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.SortedSet;
import java.util.TreeSet;

/** Alerts operators, once per number, that two tickets with different contents have the same number. */
final class ConflictAlarm {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_NUMBERS = 64;

    private final SortedSet<Long> numbers = new TreeSet<>();
    private final Timeline timeline;
    private final Gauge conflicts;

    ConflictAlarm(Timeline timeline, PrometheusRegistry metrics) {
        this.timeline = timeline;
        conflicts = Gauge.builder()
                .name("coppershelf_ticket_conflicts")
                .help("Ticket numbers under which two contents were seen.")
                .register(metrics);
    }

    void raise(long number) {
        if (numbers.size() >= MAX_NUMBERS || !numbers.add(number)) {
            return;
        }
        conflicts.set(numbers.size());
        logger.atSevere().log("[ticket] Two contents exist under ticket %d; one is in force on all VMs.", number);
        timeline.record(Timeline.Event.of("ticket", "Two contents exist under ticket " + number + ".")
                .ofTicket(number));
    }
}
