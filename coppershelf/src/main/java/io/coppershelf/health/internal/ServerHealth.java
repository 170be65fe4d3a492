package io.coppershelf.health.internal;

import io.coppershelf.health.HealthCommands;
import io.coppershelf.health.HealthPolicy;
import io.coppershelf.health.ServerCondition;
import io.coppershelf.health.internal.PathCheck.State;
import io.coppershelf.health.internal.ServerEvidence.Finding;
import java.time.Duration;

/** The condition of one server and its changes: suspicion, ejection, probation, cold start, drain. */
public final class ServerHealth {
    private static final long PROBE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long TRIAL_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();
    /** A probation during which there was no idempotent request to send to the server ends after this time. */
    private static final long MAX_PROBATION_WITHOUT_TRIAL_NANOS =
            Duration.ofSeconds(30).toNanos();
    /** How long all servers must be suspected at once before one of them may be ejected. */
    private static final long MIN_COMMON_SUSPICION_NANOS = Duration.ofSeconds(3).toNanos();
    /** Suspicion ends below this share of the threshold at which it begins. */
    private static final double HYSTERESIS = 0.5;

    private final String server;
    private final HealthCommands commands;
    private final ServerEvidence evidence = new ServerEvidence();
    private final PathCheck path = new PathCheck();
    private final EjectionBackoff backoff = new EjectionBackoff();
    private final ColdStart coldStart = new ColdStart();
    private final EjectionGrant grant = new EjectionGrant();

    private HealthPolicy policy;
    private ServerCondition condition = ServerCondition.IN_SERVICE;
    private String reason = "";
    private long sinceNanos;
    private long ejectedUntilNanos;
    private long probedNanos;
    private long trialNanos;
    private int normalAnswers;
    private boolean needsTrial;

    /** Creates the health of a server that is in service. */
    public ServerHealth(String server, HealthPolicy policy, HealthCommands commands, long nowNanos) {
        this.server = server;
        this.policy = policy;
        this.commands = commands;
        this.sinceNanos = nowNanos;
        this.probedNanos = nowNanos;
    }

    /** Sets the evidence thresholds. */
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

    /** Records that the server reported itself as cold. */
    public void reportCold(EventTime time) {
        if (coldStart.reportCold()) {
            startCold(time);
        }
    }

    /** Records that the server reported itself as ready. */
    public void reportReady() {
        coldStart.reportReady();
    }

    /** Removes the server from service because it drains. */
    public void drain(String newReason, EventTime time) {
        if (condition != ServerCondition.DRAINING) {
            change(ServerCondition.DRAINING, newReason, time);
            releaseGrant();
        }
    }

    /** Returns the server to service after a drain, with a cold start. */
    public void endDrain(EventTime time) {
        if (condition == ServerCondition.DRAINING) {
            evidence.clear(time.observedNanos());
            coldStart.begin(time.nowNanos());
            change(ServerCondition.COLD, "back after a drain", time);
        }
    }

    /** Records the service time of an answer, to be compared with the typical time on the server's peers. */
    public void recordAnswer(long nanos, TypicalServiceTime typical, EventTime time) {
        double ratio = evidence.recordAnswer(nanos, typical.slowedBy(slowness()), time.observedNanos());
        if (condition == ServerCondition.PROBATION && ratio < 0) {
            normalAnswers++;
        }
    }

    /** Records whether the server caused an error. */
    public void recordError(String route, boolean error, double rateOfPeers, EventTime time) {
        evidence.errors().record(route, error, rateOfPeers, time.observedNanos());
        if (error && condition == ServerCondition.PROBATION) {
            ejectAgain(time);
        }
    }

    /** Records that an attempt ended without an answer, with the surprisal of its age in nats. */
    public void recordTimeout(double surprisal, EventTime time) {
        evidence.recordTimeout(surprisal, time.observedNanos());
        if (condition == ServerCondition.PROBATION) {
            ejectAgain(time);
        }
    }

    /** Records that the grant to eject is held until the given time. */
    public void granted(long untilNanos, EventTime time) {
        boolean isOutOfService = condition == ServerCondition.EJECTED || condition == ServerCondition.PROBATION;
        if (!isOutOfService && condition != ServerCondition.SUSPECTED) {
            commands.releaseGrant(server);
            return;
        }
        grant.grant(time.nowNanos(), untilNanos);
        if (!isOutOfService && grant.isHeld(time.nowNanos())) {
            eject(reason, time);
        }
    }

    /** Records that the grant to eject was revoked before its end. */
    public void revoked(EventTime time) {
        grant.revoke(time.nowNanos());
        returnToSuspicion("right to eject revoked", time);
    }

    /** Ends an ejection whose grant has expired. */
    public void expireGrant(EventTime time) {
        if (!grant.isHeld(time.nowNanos())) {
            returnToSuspicion("right to eject lapsed", time);
        }
    }

    /**
     * Updates the condition from the evidence.
     *
     * @param finding the current evidence
     * @param allSuspected whether all other servers of the group are suspected as well
     */
    public void evaluate(Finding finding, boolean allSuspected, EventTime time) {
        expireGrant(time);
        switch (condition) {
            case IN_SERVICE, COLD -> evaluateInService(finding, time);
            case SUSPECTED -> evaluateSuspected(finding, allSuspected, time);
            case EJECTED -> evaluateEjected(time);
            case PROBATION -> evaluateProbation(finding, time);
            case DRAINING -> {}
        }
    }

    private void evaluateInService(Finding finding, EventTime time) {
        if (condition == ServerCondition.COLD && coldStart.isOver(time.nowNanos())) {
            change(ServerCondition.IN_SERVICE, "warm", time);
        }
        if (finding.nats() < suspicionNats() && path.state(time.nowNanos()) != State.BROKEN) {
            backoff.recordHealthy(time.nowNanos());
            return;
        }
        path.reset();
        change(ServerCondition.SUSPECTED, finding.cause(), time);
        checkPath(time);
    }

    private void evaluateSuspected(Finding finding, boolean allSuspected, EventTime time) {
        State pathState = path.state(time.nowNanos());
        if (pathState == State.CLEAR && finding.nats() < suspicionNats() * HYSTERESIS) {
            change(ServerCondition.IN_SERVICE, "recovered", time);
            releaseGrant();
            return;
        }
        if (pathState != State.CLEAR && time.nowNanos() - probedNanos >= PROBE_INTERVAL_NANOS) {
            checkPath(time);
        }
        reason = describe(pathState, finding);
        boolean isStrong = finding.nats() >= ejectionNats() || pathState == State.DOWN;
        needsTrial = pathState == State.CLEAR && !isStrong;
        boolean isEarly = allSuspected && time.nowNanos() - sinceNanos < MIN_COMMON_SUSPICION_NANOS;
        boolean isPathKnown = pathState == State.CLEAR || pathState == State.DOWN;
        if (isStrong && isPathKnown && !isEarly && grant.shouldRequest(time.nowNanos())) {
            commands.requestGrant(server, reason);
        }
    }

    private static String describe(State pathState, Finding finding) {
        return switch (pathState) {
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
        renewGrant(time);
        if (time.nowNanos() - ejectedUntilNanos >= 0) {
            evidence.clear(time.observedNanos());
            normalAnswers = 0;
            change(ServerCondition.PROBATION, reason, time);
        }
    }

    private void evaluateProbation(Finding finding, EventTime time) {
        renewGrant(time);
        if (finding.nats() >= suspicionNats()) {
            ejectAgain(time);
        } else if (normalAnswers >= policy.probationAnswers() || hadNoTrial(time.nowNanos())) {
            coldStart.begin(time.nowNanos());
            change(ServerCondition.IN_SERVICE, "probation over", time);
            releaseGrant();
        }
    }

    private boolean hadNoTrial(long nowNanos) {
        return trialNanos - sinceNanos < 0 && nowNanos - sinceNanos >= MAX_PROBATION_WITHOUT_TRIAL_NANOS;
    }

    private void renewGrant(EventTime time) {
        if (grant.shouldRequest(time.nowNanos())) {
            commands.requestGrant(server, reason);
        }
    }

    private void ejectAgain(EventTime time) {
        eject("probation failed", time);
    }

    private void eject(String newReason, EventTime time) {
        ejectedUntilNanos =
                time.nowNanos() + backoff.nextDuration(time.nowNanos()).toNanos();
        change(ServerCondition.EJECTED, newReason, time);
    }

    private void returnToSuspicion(String newReason, EventTime time) {
        if (condition == ServerCondition.EJECTED || condition == ServerCondition.PROBATION) {
            evidence.setSlowness(policy.ejectionNats(), time.observedNanos());
            change(ServerCondition.SUSPECTED, newReason, time);
        }
    }

    private void releaseGrant() {
        if (grant.release()) {
            commands.releaseGrant(server);
        }
    }

    private void change(ServerCondition to, String newReason, EventTime time) {
        if (condition != to) {
            commands.conditionChanged(server, condition, to, newReason);
            sinceNanos = time.nowNanos();
        }
        condition = to;
        reason = newReason;
    }

    /**
     * Cancels the idempotent attempts that are overdue on an unhealthy server, so that they can be retried elsewhere.
     */
    public void cancelOverdue(Finding finding, TypicalServiceTimes typicalTimes, long observedNanos) {
        boolean unhealthy = condition == ServerCondition.EJECTED
                || condition == ServerCondition.PROBATION
                || (condition == ServerCondition.SUSPECTED && finding.nats() >= ejectionNats());
        if (!unhealthy) {
            return;
        }
        OverdueAttempts.of(evidence, typicalTimes, observedNanos).stream()
                .filter(MonitoredAttempt::markCancelled)
                .forEach(attempt -> commands.cancel(attempt.attemptId(), server));
    }

    /** Returns the slots that new requests may use, 0 if the server receives none. */
    public int allowedSlots(int slots, long nowNanos) {
        return switch (condition) {
            case EJECTED, PROBATION, DRAINING -> 0;
            case SUSPECTED -> path.state(nowNanos) == State.BROKEN ? 0 : slots;
            case IN_SERVICE, COLD -> coldStart.allowedSlots(slots, nowNanos);
        };
    }

    /** Returns whether the server is due for a trial with an idempotent request, in suspicion or probation. */
    public boolean isTrialDue(long nowNanos) {
        if (nowNanos - trialNanos < TRIAL_INTERVAL_NANOS) {
            return false;
        }
        return switch (condition) {
            case SUSPECTED -> needsTrial && nowNanos - sinceNanos >= TRIAL_INTERVAL_NANOS;
            case PROBATION -> !evidence.isAwaitingAnswer();
            case IN_SERVICE, COLD, EJECTED, DRAINING -> false;
        };
    }

    /** Records that an attempt was sent. */
    public void dispatched(MonitoredAttempt attempt, long nowNanos) {
        evidence.dispatched(attempt);
        trialNanos = nowNanos;
    }

    /** Returns the evidence on the server, which the caller updates. */
    public ServerEvidence evidence() {
        return evidence;
    }

    /** Returns the check of the network path to the server. */
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

    /** Returns the factor by which the server may be slower than its peers without being suspected. */
    public double slowness() {
        return condition == ServerCondition.COLD ? ColdStart.SLOWNESS : 1.0;
    }

    /** Returns the evidence in nats at which the server is suspected. */
    public double suspicionNats() {
        return policy.suspicionNats() * historyFactor();
    }

    private double ejectionNats() {
        return policy.ejectionNats() * historyFactor();
    }

    private double historyFactor() {
        return backoff.wasRecentlyEjected() ? policy.historyFactor() : 1.0;
    }
}
