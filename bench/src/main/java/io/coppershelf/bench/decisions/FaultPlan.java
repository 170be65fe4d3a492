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

/** The faults of a run: which fault occurs, when, and on which servers. */
final class FaultPlan {
    /** Time at which the fault begins. */
    static final long ONSET_NANOS = 15 * Units.SECONDS;

    /** Duration of each stalled and each healthy phase of a flapping server. */
    private static final long FLAP_NANOS = 5 * Units.SECONDS;

    /** Duration of the pause of the host that observes the servers. */
    static final long PAUSE_NANOS = 30 * Units.SECONDS;

    private static final long COLD_NANOS = 15 * Units.SECONDS;
    private static final double COLD_SPEED = 0.25;
    private static final double HALF_WARM_SPEED = 0.6;
    private static final double ERROR_SHARE = 0.5;
    private static final double BASE_ERROR_SHARE = 0.001;
    private static final double SHED_SHARE = 0.2;

    private final Fault fault;
    private final ServiceProfile service;
    private final long endNanos;
    private final Map<String, SpeedTimeline> speeds = new HashMap<>();
    private final Set<String> targets = new HashSet<>();
    private final List<UnhealthySpan> unhealthySpans = new ArrayList<>();

    /**
     * A time span in which a server is unhealthy.
     *
     * @param server the server
     * @param fromNanos the start of the span
     * @param untilNanos the end of the span
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
            case ERRORS, CUT -> addUnhealthySpan(server, ONSET_NANOS, endNanos);
            case FLAPPING -> flap(server);
            case COLD -> startCold(server);
            case DRAIN -> targets.add(server);
        }
    }

    private void slow(String server, double speed) {
        speeds.put(server, new SpeedTimeline().from(ONSET_NANOS, speed));
        addUnhealthySpan(server, ONSET_NANOS, endNanos);
    }

    private void flap(String server) {
        SpeedTimeline speed = new SpeedTimeline();
        for (long at = ONSET_NANOS; at < endNanos; at += 2 * FLAP_NANOS) {
            speed.from(at, 0).from(at + FLAP_NANOS, 1);
            addUnhealthySpan(server, at, at + FLAP_NANOS);
        }
        speeds.put(server, speed);
    }

    private void startCold(String server) {
        speeds.put(
                server,
                new SpeedTimeline()
                        .from(ONSET_NANOS, COLD_SPEED)
                        .from(ONSET_NANOS + COLD_NANOS / 2, HALF_WARM_SPEED)
                        .from(ONSET_NANOS + COLD_NANOS, 1));
        targets.add(server);
    }

    private void addUnhealthySpan(String server, long from, long until) {
        targets.add(server);
        unhealthySpans.add(new UnhealthySpan(server, from, Math.min(until, endNanos)));
    }

    /** Returns the fault. */
    Fault fault() {
        return fault;
    }

    /** Returns the servers that the fault affects. */
    Set<String> targets() {
        return targets;
    }

    /** Returns the time spans in which servers are unhealthy. */
    List<UnhealthySpan> unhealthySpans() {
        return unhealthySpans;
    }

    /** Returns whether the server was unhealthy at the given time or within the look-back time before. */
    boolean wasRecentlyUnhealthy(String server, long nanos, long lookBackNanos) {
        return unhealthySpans.stream()
                .anyMatch(span -> span.server().equals(server)
                        && nanos >= span.fromNanos()
                        && nanos <= span.untilNanos() + lookBackNanos);
    }

    /** Returns the speed of the server over time. */
    SpeedTimeline speed(String server) {
        return speeds.computeIfAbsent(server, absent -> new SpeedTimeline());
    }

    /** Returns the share of the server's answers to the request kind that are errors. */
    double errorShare(String server, KindProfile kind, long nanos) {
        boolean faulty = fault == Fault.ERRORS && nanos >= ONSET_NANOS && targets.contains(server);
        return faulty && kind.equals(service.kinds().get(0)) ? ERROR_SHARE : BASE_ERROR_SHARE;
    }

    /** Returns the share of attempts that a server sheds although it has free slots. */
    double shedShare(long nanos) {
        return fault == Fault.SHEDDING && nanos >= ONSET_NANOS ? SHED_SHARE : 0;
    }

    /** Returns whether answers of the server are lost on the way to its owner. */
    boolean isCut(String server, long nanos) {
        return fault == Fault.CUT && nanos >= ONSET_NANOS && targets.contains(server);
    }

    /** Returns the state that the server reports. */
    ServerState reportedState(String server, long nanos) {
        if (nanos < ONSET_NANOS || !targets.contains(server)) {
            return ServerState.READY;
        }
        return switch (fault) {
            case DRAIN -> ServerState.DRAINING;
            case COLD -> nanos < ONSET_NANOS + COLD_NANOS ? ServerState.COLD : ServerState.READY;
            default -> ServerState.READY;
        };
    }

    /** Returns the end of the host's pause if it is paused at the given time; only the first host is ever paused. */
    Optional<Long> pausedUntil(int host, long nanos) {
        boolean paused = fault == Fault.PAUSE && host == 0 && nanos >= ONSET_NANOS && nanos < ONSET_NANOS + PAUSE_NANOS;
        return paused ? Optional.of(ONSET_NANOS + PAUSE_NANOS) : Optional.empty();
    }

    /** Returns whether load reports are misleading at the given time. */
    boolean hasMisleadingReports(long nanos) {
        return fault == Fault.REPORTS && nanos >= ONSET_NANOS;
    }
}
