package io.coppershelf.bench.decisions;

import io.coppershelf.bench.decisions.FaultPlan.UnhealthySpan;
import io.coppershelf.health.ServerCondition;
import io.coppershelf.ticket.ServerSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Keeps the truth of a run and works out its figures. */
final class RunRecorder {
    /** An ejection so soon after a sickness is no false one. */
    private static final long LOOK_BACK = 3 * Units.SECONDS;

    private final RunSpec spec;
    private final FaultPlan plan;
    private final RunResult result = new RunResult();
    private final Map<UnhealthySpan, Long> lastDispatch = new HashMap<>();
    private final Map<String, Double> offeredWork = new HashMap<>();
    private final Set<String> ejected = new HashSet<>();
    private final Set<String> otherwiseOut = new HashSet<>();

    RunRecorder(RunSpec spec, FaultPlan plan) {
        this.spec = spec;
        this.plan = plan;
        plan.unhealthySpans().forEach(span -> lastDispatch.put(span, span.fromNanos()));
        noteCapacity();
    }

    private boolean isMeasured(long nanos) {
        return nanos >= FaultPlan.ONSET && nanos <= spec.endNanos();
    }

    /** Takes in a new request. */
    void recordArrival(BenchRequest request) {
        if (isMeasured(request.arrivedNanos())) {
            result.requests++;
            result.weightOffered += request.kind().weight();
            offeredWork.merge(request.kind().name(), request.kind().meanNanos(), Double::sum);
        }
    }

    /** Takes in a dispatch to a server in the given condition. */
    void recordDispatch(String server, ServerCondition condition, long nowNanos) {
        if (condition == ServerCondition.PROBATION) {
            return;
        }
        for (UnhealthySpan span : plan.unhealthySpans()) {
            if (span.server().equals(server) && nowNanos >= span.fromNanos() && nowNanos < span.untilNanos()) {
                lastDispatch.put(span, nowNanos);
            }
        }
    }

    /** Takes in a whole answer to the caller. */
    void recordAnswer(BenchRequest request, boolean success, long nowNanos) {
        if (request.runs() == 0) {
            result.wrongOutcome++;
        }
        boolean inTime = success && nowNanos <= request.deadlineNanos();
        if (inTime && isMeasured(nowNanos)) {
            result.workInTime += request.kind().weight() * request.kind().meanNanos();
        }
        if (!isMeasured(request.arrivedNanos())) {
            return;
        }
        if (inTime) {
            result.weightInTime += request.kind().weight();
            result.latencyMillis.add((double) (nowNanos - request.arrivedNanos()) / Units.MILLIS);
        } else if (success) {
            result.late++;
        } else {
            result.lost++;
        }
    }

    /** Takes in that the caller was told that the request was not run. */
    void recordRefusal(BenchRequest request, long nowNanos) {
        if (request.runs() > 0) {
            result.wrongOutcome++;
        }
        if (isMeasured(request.arrivedNanos())) {
            result.refused++;
            result.refusalMillis.add((double) (nowNanos - request.arrivedNanos()) / Units.MILLIS);
        }
    }

    /** Takes in that the caller was told that the outcome is unknown. */
    void recordLoss(BenchRequest request) {
        if (isMeasured(request.arrivedNanos())) {
            result.lost++;
        }
    }

    /** Takes in that a server refused a try because its slots were taken. */
    void recordShed() {
        result.shed++;
    }

    /** Takes in a message between two VMs. */
    void recordMessage(long nowNanos) {
        result.messages += isMeasured(nowNanos) ? 1 : 0;
    }

    /** Takes in the whole life of a request, after the run. */
    void recordFinalState(BenchRequest request) {
        if (!request.kind().idempotent() && request.runs() > 1) {
            result.executedTwice++;
        }
    }

    /** Takes in a change of condition. */
    void recordConditionChange(String server, ServerCondition to, long nowNanos) {
        boolean out = to == ServerCondition.EJECTED || to == ServerCondition.PROBATION;
        if (to == ServerCondition.EJECTED && !ejected.contains(server)) {
            boolean sick = plan.fault() != Fault.CUT && plan.wasRecentlyUnhealthy(server, nowNanos, LOOK_BACK);
            result.falseEjections += sick ? 0 : 1;
        }
        update(ejected, server, out);
        update(otherwiseOut, server, to == ServerCondition.DRAINING || to == ServerCondition.COLD);
        noteCapacity();
    }

    private static void update(Set<String> set, String server, boolean isIn) {
        if (isIn) {
            set.add(server);
        } else {
            set.remove(server);
        }
    }

    private void noteCapacity() {
        int above = spec.service().servers()
                - ejected.size()
                - otherwiseOut.size()
                - spec.service().floor();
        if (!ejected.isEmpty() || result.lowestAboveFloor == Integer.MAX_VALUE) {
            result.lowestAboveFloor = Math.min(result.lowestAboveFloor, above);
        }
    }

    /** Returns the figures of the run. */
    RunResult finish() {
        lastDispatch.forEach((span, nanos) -> result.detectionSeconds.add(Units.seconds(nanos - span.fromNanos())));
        result.serverHours = spec.service().servers() * Units.seconds(spec.endNanos()) / 3600;
        result.workPossible = possibleWork();
        return result;
    }

    private double possibleWork() {
        double left = healthySlotNanos();
        double possible = 0;
        List<KindProfile> kinds = new ArrayList<>(spec.service().kinds());
        kinds.sort(Comparator.comparingInt(KindProfile::weight).reversed());
        for (KindProfile kind : kinds) {
            double work = Math.min(left, offeredWork.getOrDefault(kind.name(), 0.0));
            possible += work * kind.weight();
            left -= work;
        }
        return possible;
    }

    private long idleNanos(ServerSpec server) {
        boolean idle = server.dataCentre()
                .equals(spec.service().customer().dataCentres().get(0));
        return plan.fault() == Fault.PAUSE && idle ? FaultPlan.PAUSE : 0;
    }

    private double healthySlotNanos() {
        double nanos = 0;
        for (ServerSpec server : spec.service().serverSpecs()) {
            if (!plan.targets().contains(server.name())) {
                nanos += server.slots() * (double) (spec.endNanos() - FaultPlan.ONSET - idleNanos(server));
            }
        }
        return nanos;
    }
}
