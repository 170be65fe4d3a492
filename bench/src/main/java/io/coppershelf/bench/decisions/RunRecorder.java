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

/** Records the events of a run and computes its figures. */
final class RunRecorder {
    /** An ejection within this time after the server was unhealthy isn't counted as false. */
    private static final long LOOK_BACK_NANOS = 3 * Units.SECONDS;

    private final RunSpec spec;
    private final FaultPlan plan;
    private final RunResult result = new RunResult();
    private final Map<UnhealthySpan, Long> lastDispatchNanos = new HashMap<>();
    private final Map<String, Double> offeredWork = new HashMap<>();
    private final Set<String> ejected = new HashSet<>();
    private final Set<String> drainingOrCold = new HashSet<>();

    RunRecorder(RunSpec spec, FaultPlan plan) {
        this.spec = spec;
        this.plan = plan;
        plan.unhealthySpans().forEach(span -> lastDispatchNanos.put(span, span.fromNanos()));
        updateLowestAboveFloor();
    }

    private boolean isMeasured(long nanos) {
        return nanos >= FaultPlan.ONSET_NANOS && nanos <= spec.endNanos();
    }

    /** Records a new request. */
    void recordArrival(BenchRequest request) {
        if (isMeasured(request.arrivedNanos())) {
            result.requests++;
            result.weightOffered += request.kind().weight();
            offeredWork.merge(request.kind().name(), request.kind().meanNanos(), Double::sum);
        }
    }

    /** Records a dispatch to a server in the given condition; dispatches in probation don't delay the detection. */
    void recordDispatch(String server, ServerCondition condition, long nowNanos) {
        if (condition == ServerCondition.PROBATION) {
            return;
        }
        for (UnhealthySpan span : plan.unhealthySpans()) {
            if (span.server().equals(server) && nowNanos >= span.fromNanos() && nowNanos < span.untilNanos()) {
                lastDispatchNanos.put(span, nowNanos);
            }
        }
    }

    /** Records a complete answer to the caller. */
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

    /** Records an answer to the caller that the request was not run. */
    void recordRefusal(BenchRequest request, long nowNanos) {
        if (request.runs() > 0) {
            result.wrongOutcome++;
        }
        if (isMeasured(request.arrivedNanos())) {
            result.refused++;
            result.refusalMillis.add((double) (nowNanos - request.arrivedNanos()) / Units.MILLIS);
        }
    }

    /** Records an answer to the caller that the outcome is unknown, or that there was none before the deadline. */
    void recordLoss(BenchRequest request) {
        if (isMeasured(request.arrivedNanos())) {
            result.lost++;
        }
    }

    /** Records that a server refused an attempt. */
    void recordShed() {
        result.shed++;
    }

    /** Records a message between two VMs. */
    void recordMessage(long nowNanos) {
        result.messages += isMeasured(nowNanos) ? 1 : 0;
    }

    /** Records the final state of a request, after the run. */
    void recordFinalState(BenchRequest request) {
        if (!request.kind().idempotent() && request.runs() > 1) {
            result.executedTwice++;
        }
    }

    /** Records a change of a server's condition. */
    void recordConditionChange(String server, ServerCondition to, long nowNanos) {
        boolean ejectedOrInProbation = to == ServerCondition.EJECTED || to == ServerCondition.PROBATION;
        if (to == ServerCondition.EJECTED && !ejected.contains(server)) {
            boolean unhealthy =
                    plan.fault() != Fault.CUT && plan.wasRecentlyUnhealthy(server, nowNanos, LOOK_BACK_NANOS);
            result.falseEjections += unhealthy ? 0 : 1;
        }
        update(ejected, server, ejectedOrInProbation);
        update(drainingOrCold, server, to == ServerCondition.DRAINING || to == ServerCondition.COLD);
        updateLowestAboveFloor();
    }

    private static void update(Set<String> set, String server, boolean isIn) {
        if (isIn) {
            set.add(server);
        } else {
            set.remove(server);
        }
    }

    private void updateLowestAboveFloor() {
        int above = spec.service().servers()
                - ejected.size()
                - drainingOrCold.size()
                - spec.service().floor();
        if (!ejected.isEmpty() || result.lowestAboveFloor == Integer.MAX_VALUE) {
            result.lowestAboveFloor = Math.min(result.lowestAboveFloor, above);
        }
    }

    /** Returns the figures of the run. */
    RunResult finish() {
        lastDispatchNanos.forEach(
                (span, nanos) -> result.detectionSeconds.add(Units.seconds(nanos - span.fromNanos())));
        result.serverHours = spec.service().servers() * Units.seconds(spec.endNanos()) / 3600;
        result.workPossible = possibleWork();
        return result;
    }

    private double possibleWork() {
        double remaining = healthySlotNanos();
        double possible = 0;
        List<KindProfile> kinds = new ArrayList<>(spec.service().kinds());
        kinds.sort(Comparator.comparingInt(KindProfile::weight).reversed());
        for (KindProfile kind : kinds) {
            double work = Math.min(remaining, offeredWork.getOrDefault(kind.name(), 0.0));
            possible += work * kind.weight();
            remaining -= work;
        }
        return possible;
    }

    private long idleNanos(ServerSpec server) {
        boolean idle = server.dataCentre()
                .equals(spec.service().customer().dataCentres().get(0));
        return plan.fault() == Fault.PAUSE && idle ? FaultPlan.PAUSE_NANOS : 0;
    }

    private double healthySlotNanos() {
        double nanos = 0;
        for (ServerSpec server : spec.service().serverSpecs()) {
            if (!plan.targets().contains(server.name())) {
                nanos += server.slots() * (double) (spec.endNanos() - FaultPlan.ONSET_NANOS - idleNanos(server));
            }
        }
        return nanos;
    }
}
