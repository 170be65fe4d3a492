package io.coppershelf.health.internal;

import io.coppershelf.health.HealthCommands;
import io.coppershelf.health.HealthPolicy;
import io.coppershelf.health.ServerCondition;
import io.coppershelf.health.internal.PathCheck.Verdict;
import io.coppershelf.health.internal.ServerEvidence.Finding;
import java.time.Duration;

/** The condition of one server and its changes: suspicion, ejection, probation, cold start, drain. */
public final class ServerHealth {
    private static final long PROBE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long TRIAL_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();
    /** A probation without any repeatable work to try the server with ends after this time. */
    private static final long UNTRIED_LIMIT_NANOS = Duration.ofSeconds(30).toNanos();
    /** How long suspicion of all servers at once must last before one of them may be ejected. */
    private static final long COMMON_SUSPICION_NANOS = Duration.ofSeconds(3).toNanos();
    /** Suspicion ends at this share of the evidence at which it began. */
    private static final double HYSTERESIS = 0.5;

    private final String server;
    private final HealthCommands commands;
    private final ServerEvidence evidence = new ServerEvidence();
    private final PathCheck path = new PathCheck();
    private final EjectionBackoff holdTime = new EjectionBackoff();
    private final ColdStart coldStart = new ColdStart();
    private final EjectionRight right = new EjectionRight();

    private HealthPolicy policy;
    private ServerCondition condition = ServerCondition.IN_SERVICE;
    private String reason = "";
    private long sinceNanos;
    private long holdUntilNanos;
    private long probedNanos;
    private long trialNanos;
    private int goodAnswers;
    private boolean wantsTrial;

    /** Returns the health of a server that is in service. */
    public ServerHealth(String server, HealthPolicy policy, HealthCommands commands, long nowNanos) {
        this.server = server;
        this.policy = policy;
        this.commands = commands;
        this.sinceNanos = nowNanos;
        this.probedNanos = nowNanos;
    }

    /** Sets the limits of evidence. */
    public void setPolicy(HealthPolicy newPolicy) {
        policy = newPolicy;
    }

    /** Begins a cold start, unless the server is out of service. */
    public void startCold(EventTime time) {
        if (condition == ServerCondition.IN_SERVICE || condition == ServerCondition.SUSPECTED) {
            coldStart.begin(time.nowNanos());
            evidence.clear(time.observedNanos());
            change(ServerCondition.COLD, "cold start", time);
        }
    }

    /** Takes in that the server says it is cold. */
    public void reportCold(EventTime time) {
        if (coldStart.reportCold()) {
            startCold(time);
        }
    }

    /** Takes in that the server says it is ready. */
    public void reportReady() {
        coldStart.reportReady();
    }

    /** Takes the server out of service because it is leaving. */
    public void drain(String why, EventTime time) {
        if (condition != ServerCondition.DRAINING) {
            change(ServerCondition.DRAINING, why, time);
            dropRight();
        }
    }

    /** Takes the server back into service after a drain. */
    public void endDrain(EventTime time) {
        if (condition == ServerCondition.DRAINING) {
            evidence.clear(time.observedNanos());
            coldStart.begin(time.nowNanos());
            change(ServerCondition.COLD, "back after a drain", time);
        }
    }

    /** Takes in the service time of an answer against the usual time on the server's peers. */
    public void recordAnswer(long nanos, TypicalServiceTime usual, EventTime time) {
        double ratio = evidence.recordAnswer(nanos, usual.slowedBy(slowness()), time.observedNanos());
        if (condition == ServerCondition.PROBATION && ratio < 0) {
            goodAnswers++;
        }
    }

    /** Takes in whether the server caused an error. */
    public void recordError(String route, boolean error, double rateOfPeers, EventTime time) {
        evidence.errors().record(route, error, rateOfPeers, time.observedNanos());
        if (error && condition == ServerCondition.PROBATION) {
            holdAgain(time);
        }
    }

    /** Takes in that a try ended without an answer, and how surprising its age was. */
    public void recordTimeout(double surprise, EventTime time) {
        evidence.recordTimeout(surprise, time.observedNanos());
        if (condition == ServerCondition.PROBATION) {
            holdAgain(time);
        }
    }

    /** Takes in that the right to eject is held until the given time. */
    public void granted(long untilNanos, EventTime time) {
        boolean out = condition == ServerCondition.EJECTED || condition == ServerCondition.PROBATION;
        if (!out && condition != ServerCondition.SUSPECTED) {
            commands.releaseEjection(server);
            return;
        }
        right.grant(time.nowNanos(), untilNanos);
        if (!out && right.isHeld(time.nowNanos())) {
            hold(reason, time);
        }
    }

    /** Takes in that the right to eject ended early. */
    public void revoked(EventTime time) {
        right.revoke(time.nowNanos());
        returnToSuspicion("right to eject revoked", time);
    }

    /** Ends an ejection whose right has lapsed. */
    public void expireRight(EventTime time) {
        if (!right.isHeld(time.nowNanos())) {
            returnToSuspicion("right to eject lapsed", time);
        }
    }

    /**
     * Works out whether the condition changes.
     *
     * @param finding the evidence at hand
     * @param common whether all other servers of the group are suspected as well
     */
    public void evaluate(Finding finding, boolean common, EventTime time) {
        expireRight(time);
        switch (condition) {
            case IN_SERVICE, COLD -> evaluateInService(finding, time);
            case SUSPECTED -> evaluateSuspected(finding, common, time);
            case EJECTED -> evaluateEjected(time);
            case PROBATION -> evaluateProbation(finding, time);
            case DRAINING -> {}
        }
    }

    private void evaluateInService(Finding finding, EventTime time) {
        if (condition == ServerCondition.COLD && coldStart.isOver(time.nowNanos())) {
            change(ServerCondition.IN_SERVICE, "warm", time);
        }
        if (finding.nats() < suspicionNats() && path.verdict(time.nowNanos()) != Verdict.BROKEN) {
            holdTime.recordHealthy(time.nowNanos());
            return;
        }
        path.reset();
        change(ServerCondition.SUSPECTED, finding.cause(), time);
        checkPath(time);
    }

    private void evaluateSuspected(Finding finding, boolean common, EventTime time) {
        Verdict verdict = path.verdict(time.nowNanos());
        if (verdict == Verdict.CLEAR && finding.nats() < suspicionNats() * HYSTERESIS) {
            change(ServerCondition.IN_SERVICE, "recovered", time);
            dropRight();
            return;
        }
        if (verdict != Verdict.CLEAR && time.nowNanos() - probedNanos >= PROBE_INTERVAL_NANOS) {
            checkPath(time);
        }
        reason = describe(verdict, finding);
        boolean strong = finding.nats() >= ejectionNats() || verdict == Verdict.DOWN;
        wantsTrial = verdict == Verdict.CLEAR && !strong;
        boolean early = common && time.nowNanos() - sinceNanos < COMMON_SUSPICION_NANOS;
        boolean reached = verdict == Verdict.CLEAR || verdict == Verdict.DOWN;
        if (strong && reached && !early && right.shouldRequest(time.nowNanos())) {
            commands.requestEjection(server, reason);
        }
    }

    private static String describe(Verdict verdict, Finding finding) {
        return switch (verdict) {
            case BROKEN -> "unreachable from this VM";
            case DOWN -> "unreachable from several VMs";
            case CLEAR, UNKNOWN -> finding.cause();
        };
    }

    private void checkPath(EventTime time) {
        probedNanos = time.nowNanos();
        commands.probe(server);
        commands.queryReachability(server);
    }

    private void evaluateEjected(EventTime time) {
        renewRight(time);
        if (time.nowNanos() - holdUntilNanos >= 0) {
            evidence.clear(time.observedNanos());
            goodAnswers = 0;
            change(ServerCondition.PROBATION, reason, time);
        }
    }

    private void evaluateProbation(Finding finding, EventTime time) {
        renewRight(time);
        if (finding.nats() >= suspicionNats()) {
            holdAgain(time);
        } else if (goodAnswers >= policy.probationAnswers() || isUntried(time.nowNanos())) {
            coldStart.begin(time.nowNanos());
            change(ServerCondition.IN_SERVICE, "probation over", time);
            dropRight();
        }
    }

    private boolean isUntried(long nowNanos) {
        return trialNanos - sinceNanos < 0 && nowNanos - sinceNanos >= UNTRIED_LIMIT_NANOS;
    }

    private void renewRight(EventTime time) {
        if (right.shouldRequest(time.nowNanos())) {
            commands.requestEjection(server, reason);
        }
    }

    private void holdAgain(EventTime time) {
        hold("probation failed", time);
    }

    private void hold(String why, EventTime time) {
        holdUntilNanos =
                time.nowNanos() + holdTime.nextDuration(time.nowNanos()).toNanos();
        change(ServerCondition.EJECTED, why, time);
    }

    private void returnToSuspicion(String why, EventTime time) {
        if (condition == ServerCondition.EJECTED || condition == ServerCondition.PROBATION) {
            evidence.setSlowness(policy.ejectionNats(), time.observedNanos());
            change(ServerCondition.SUSPECTED, why, time);
        }
    }

    private void dropRight() {
        if (right.release()) {
            commands.releaseEjection(server);
        }
    }

    private void change(ServerCondition to, String why, EventTime time) {
        if (condition != to) {
            commands.conditionChanged(server, condition, to, why);
            sinceNanos = time.nowNanos();
        }
        condition = to;
        reason = why;
    }

    /** Cancels the tries that are overdue on a sick server and may be repeated. */
    public void cancelOverdue(Finding finding, TypicalServiceTimes usualTimes, long observedNanos) {
        boolean sick = condition == ServerCondition.EJECTED
                || condition == ServerCondition.PROBATION
                || (condition == ServerCondition.SUSPECTED && finding.nats() >= ejectionNats());
        if (!sick) {
            return;
        }
        OverdueAttempts.of(evidence, usualTimes, observedNanos).stream()
                .filter(MonitoredAttempt::markCancelled)
                .forEach(watched -> commands.cancel(watched.attemptId(), server));
    }

    /** Returns the slots that new work may use, 0 if the server gets none. */
    public int allowedSlots(int slots, long nowNanos) {
        return switch (condition) {
            case EJECTED, PROBATION, DRAINING -> 0;
            case SUSPECTED -> path.verdict(nowNanos) == Verdict.BROKEN ? 0 : slots;
            case IN_SERVICE, COLD -> coldStart.allowedSlots(slots, nowNanos);
        };
    }

    /** Returns whether a try of idempotent work is due to learn more of the server in suspicion or probation. */
    public boolean isTrialDue(long nowNanos) {
        if (nowNanos - trialNanos < TRIAL_INTERVAL_NANOS) {
            return false;
        }
        return switch (condition) {
            case SUSPECTED -> wantsTrial && nowNanos - sinceNanos >= TRIAL_INTERVAL_NANOS;
            case PROBATION -> !evidence.isAwaitingAnswer();
            case IN_SERVICE, COLD, EJECTED, DRAINING -> false;
        };
    }

    /** Takes in that a try was sent. */
    public void dispatched(MonitoredAttempt watched, long nowNanos) {
        evidence.dispatched(watched);
        trialNanos = nowNanos;
    }

    /** Returns the evidence, to be fed and read. */
    public ServerEvidence evidence() {
        return evidence;
    }

    /** Returns what is known of the path to the server. */
    public PathCheck path() {
        return path;
    }

    /** Returns the condition. */
    public ServerCondition condition() {
        return condition;
    }

    /** Returns why the server is in its condition, empty if in service. */
    public String reason() {
        return condition == ServerCondition.IN_SERVICE ? "" : reason;
    }

    /** Returns the factor by which the server may be slower than its peers. */
    public double slowness() {
        return condition == ServerCondition.COLD ? ColdStart.SLOWNESS : 1.0;
    }

    /** Returns the evidence at which the server is suspected. */
    public double suspicionNats() {
        return policy.suspicionNats() * historyFactor();
    }

    private double ejectionNats() {
        return policy.ejectionNats() * historyFactor();
    }

    private double historyFactor() {
        return holdTime.wasRecentlyEjected() ? policy.historyFactor() : 1.0;
    }
}
