package io.coppershelf.bench.decisions;

import io.coppershelf.backend.BackendResult.ServerState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** What goes wrong in a run, when, and on which servers. */
final class FaultPlan {
    /** When the fault begins. */
    static final long ONSET = 15 * Units.SECONDS;

    private static final long FLAP = 5 * Units.SECONDS;
    /** How long the paused observer is paused. */
    static final long PAUSE = 30 * Units.SECONDS;

    private static final long COLD_LENGTH = 15 * Units.SECONDS;
    private static final double COLD_SPEED = 0.25;
    private static final double HALF_WARM_SPEED = 0.6;
    private static final double ERROR_SHARE = 0.5;
    private static final double USUAL_ERROR_SHARE = 0.001;
    private static final double SHED_SHARE = 0.2;

    private final Fault fault;
    private final ServiceProfile service;
    private final long endNanos;
    private final Map<String, SpeedTimeline> speeds = new HashMap<>();
    private final Set<String> targets = new HashSet<>();
    private final List<UnhealthySpan> sickSpans = new ArrayList<>();

    /**
     * A span in which a server is sick.
     *
     * @param server the server
     * @param fromNanos its begin
     * @param untilNanos its end
     */
    record UnhealthySpan(String server, long fromNanos, long untilNanos) {}

    FaultPlan(Fault fault, ServiceProfile service, long endNanos, RandomGenerator random) {
        this.fault = fault;
        this.service = service;
        this.endNanos = endNanos;
        int first = random.nextInt(service.servers());
        int second = (first + 1 + random.nextInt(service.servers() - 1)) % service.servers();
        plan(name(first));
        if (fault == Fault.TWO_STALLED) {
            plan(name(second));
        }
    }

    private String name(int index) {
        return service.name() + "-" + (index + 1);
    }

    private void plan(String server) {
        switch (fault) {
            case NONE, REPORTS, PAUSE, SHEDDING -> {}
            case STALL, TWO_STALLED -> slow(server, 0);
            case SLOW_3 -> slow(server, 1.0 / 3);
            case SLOW_5 -> slow(server, 1.0 / 5);
            case SLOW_20 -> slow(server, 1.0 / 20);
            case ERRORS, CUT -> sick(server, ONSET, endNanos);
            case FLAPPING -> flap(server);
            case COLD -> startCold(server);
            case DRAIN -> targets.add(server);
        }
    }

    private void slow(String server, double speed) {
        speeds.put(server, new SpeedTimeline().from(ONSET, speed));
        sick(server, ONSET, endNanos);
    }

    private void flap(String server) {
        SpeedTimeline speed = new SpeedTimeline();
        for (long at = ONSET; at < endNanos; at += 2 * FLAP) {
            speed.from(at, 0).from(at + FLAP, 1);
            sick(server, at, at + FLAP);
        }
        speeds.put(server, speed);
    }

    private void startCold(String server) {
        speeds.put(
                server,
                new SpeedTimeline()
                        .from(ONSET, COLD_SPEED)
                        .from(ONSET + COLD_LENGTH / 2, HALF_WARM_SPEED)
                        .from(ONSET + COLD_LENGTH, 1));
        targets.add(server);
    }

    private void sick(String server, long from, long until) {
        targets.add(server);
        sickSpans.add(new UnhealthySpan(server, from, Math.min(until, endNanos)));
    }

    /** Returns the fault. */
    Fault fault() {
        return fault;
    }

    /** Returns the servers that the fault is about. */
    Set<String> targets() {
        return targets;
    }

    /** Returns the spans in which servers are sick. */
    List<UnhealthySpan> unhealthySpans() {
        return sickSpans;
    }

    /** Returns whether the server was sick at the time or shortly before. */
    boolean wasRecentlyUnhealthy(String server, long nanos, long lookBackNanos) {
        return sickSpans.stream()
                .anyMatch(span -> span.server().equals(server)
                        && nanos >= span.fromNanos()
                        && nanos <= span.untilNanos() + lookBackNanos);
    }

    /** Returns the speed of the server over time. */
    SpeedTimeline speed(String server) {
        return speeds.computeIfAbsent(server, absent -> new SpeedTimeline());
    }

    /** Returns the share of errors of the kind on the server. */
    double errorShare(String server, KindProfile kind, long nanos) {
        boolean hit = fault == Fault.ERRORS && nanos >= ONSET && targets.contains(server);
        return hit && kind.equals(service.kinds().get(0)) ? ERROR_SHARE : USUAL_ERROR_SHARE;
    }

    /** Returns the share of tries that a server sheds though it has slots. */
    double shedShare(long nanos) {
        return fault == Fault.SHEDDING && nanos >= ONSET ? SHED_SHARE : 0;
    }

    /** Returns whether answers of the server are lost on their way to its owner. */
    boolean isCut(String server, long nanos) {
        return fault == Fault.CUT && nanos >= ONSET && targets.contains(server);
    }

    /** Returns what the server says of itself. */
    ServerState reportedState(String server, long nanos) {
        if (nanos < ONSET || !targets.contains(server)) {
            return ServerState.READY;
        }
        return switch (fault) {
            case DRAIN -> ServerState.DRAINING;
            case COLD -> nanos < ONSET + COLD_LENGTH ? ServerState.COLD : ServerState.READY;
            default -> ServerState.READY;
        };
    }

    /** Returns until when the first group's owner is paused at the given time, empty if it runs. */
    Optional<Long> pausedUntil(int host, long nanos) {
        boolean paused = fault == Fault.PAUSE && host == 0 && nanos >= ONSET && nanos < ONSET + PAUSE;
        return paused ? Optional.of(ONSET + PAUSE) : Optional.empty();
    }

    /** Returns whether load reports mislead at the given time. */
    boolean hasMisleadingReports(long nanos) {
        return fault == Fault.REPORTS && nanos >= ONSET;
    }
}
