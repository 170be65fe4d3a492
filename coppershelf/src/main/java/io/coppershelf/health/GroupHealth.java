package io.coppershelf.health;

import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.health.internal.DrainSources;
import io.coppershelf.health.internal.ErrorRates;
import io.coppershelf.health.internal.EventTime;
import io.coppershelf.health.internal.MonitoredAttempt;
import io.coppershelf.health.internal.ObservedClock;
import io.coppershelf.health.internal.ServerEvidence.Finding;
import io.coppershelf.health.internal.ServerHealth;
import io.coppershelf.health.internal.StallDetector;
import io.coppershelf.health.internal.TypicalServiceTimes;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Decides the condition of the servers of one group. Not thread-safe.
 *
 * <pre>{@code
 * health.advance(now);
 * health.dispatched("attempt-1", "rotavis-3", "rotavis/week", true, now);
 * health.ended("attempt-1", "rotavis-3", AttemptEnd.ANSWERED, ServerState.READY, now);
 * health.tick(now);
 * int slots = health.allowedSlots(spec, now);
 * }</pre>
 */
public final class GroupHealth {
    private static final long SHARE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    /** A server without any response for this long is probed. */
    private static final long SILENCE_LIMIT_NANOS = Duration.ofSeconds(5).toNanos();
    /** Longest pause of this process during an attempt after which the end of the attempt still counts as evidence. */
    private static final long MAX_UNOBSERVED_NANOS = Duration.ofMillis(500).toNanos();
    /** Smallest surprisal of an attempt's age at which its timeout counts as evidence against the server. */
    private static final double TIMEOUT_SURPRISAL_NATS = 3.0;

    private final HealthCommands commands;
    private final Function<ServiceSpec, HealthPolicy> policies;
    private final ObservedClock clock = new ObservedClock();
    private final TypicalServiceTimes typicalTimes = new TypicalServiceTimes();
    private final ErrorRates errorRates = new ErrorRates();
    private final Map<String, ServerHealth> servers = new TreeMap<>();
    private final Map<String, Long> lastResponseNanos = new TreeMap<>();
    private final DrainSources drainSources = new DrainSources();

    private boolean configured;
    private long sharedNanos;

    /** Creates the health of a group that has no servers yet. */
    public GroupHealth(Function<ServiceSpec, HealthPolicy> policies, HealthCommands commands) {
        this.policies = policies;
        this.commands = commands;
    }

    /** Advances to the time of the current event; to be called first for each event. */
    public void advance(long nowNanos) {
        clock.advance(nowNanos);
        servers.values().forEach(server -> server.expireGrant(time(nowNanos)));
    }

    /** Applies the servers of the group. Servers that are added after the first configuration start cold. */
    public void configure(ServiceSpec service, List<ServerSpec> specs, long nowNanos) {
        HealthPolicy policy = policies.apply(service);
        Set<String> names = new HashSet<>();
        specs.forEach(spec -> names.add(spec.name()));
        Set<String> removed = new HashSet<>(servers.keySet());
        removed.removeAll(names);
        removed.forEach(this::remove);
        for (ServerSpec spec : specs) {
            boolean added = !servers.containsKey(spec.name());
            ServerHealth server =
                    servers.computeIfAbsent(spec.name(), name -> new ServerHealth(name, policy, commands, nowNanos));
            server.setPolicy(policy);
            if (added && configured) {
                server.startCold(time(nowNanos));
            }
            lastResponseNanos.putIfAbsent(spec.name(), nowNanos);
            applyTicketDrain(spec, server, nowNanos);
        }
        configured = true;
    }

    private void remove(String server) {
        servers.remove(server);
        lastResponseNanos.remove(server);
        drainSources.remove(server);
        typicalTimes.remove(server);
        errorRates.remove(server);
    }

    private void applyTicketDrain(ServerSpec spec, ServerHealth server, long nowNanos) {
        if (!drainSources.setByTicket(spec.name(), spec.draining())) {
            server.endDrain(time(nowNanos));
        } else if (spec.draining()) {
            server.drain("draining by ticket", time(nowNanos));
        }
    }

    /** Records that an attempt was sent to a server. */
    public void dispatched(String attemptId, String server, String route, boolean idempotent, long nowNanos) {
        MonitoredAttempt attempt = new MonitoredAttempt(attemptId, route, idempotent, nowNanos, clock.observedNanos());
        find(server).ifPresent(health -> health.dispatched(attempt, nowNanos));
    }

    /** Records how an attempt ended and the state that the server reported with it. */
    public void ended(String attemptId, String server, AttemptEnd end, ServerState state, long nowNanos) {
        Optional<ServerHealth> health = find(server);
        if (health.isEmpty()) {
            return;
        }
        Optional<MonitoredAttempt> attempt = health.get().evidence().ended(attemptId);
        recordPathState(server, health.get(), end, state, nowNanos);
        recordState(server, health.get(), state, nowNanos);
        attempt.filter(ended -> isEvidence(ended, health.get(), nowNanos))
                .ifPresent(ended -> recordEnd(server, health.get(), ended, end, nowNanos));
        evaluate(server, health.get(), nowNanos);
    }

    private void recordPathState(String server, ServerHealth health, AttemptEnd end, ServerState state, long nowNanos) {
        if (end == AttemptEnd.ANSWERED || state != ServerState.UNSTATED) {
            lastResponseNanos.put(server, nowNanos);
            health.path().recordAnswer();
        } else if (end == AttemptEnd.NOT_CONNECTED) {
            health.path().recordConnectFailure();
        }
    }

    private boolean isEvidence(MonitoredAttempt attempt, ServerHealth health, long nowNanos) {
        return !attempt.isIgnored()
                && attempt.unobservedNanos(nowNanos, clock.observedNanos()) <= MAX_UNOBSERVED_NANOS
                && health.condition() != ServerCondition.DRAINING;
    }

    private void recordEnd(
            String server, ServerHealth health, MonitoredAttempt attempt, AttemptEnd reportedEnd, long nowNanos) {
        long age = attempt.ageNanos(clock.observedNanos());
        AttemptEnd end =
                attempt.isCancelled() && reportedEnd != AttemptEnd.ANSWERED ? AttemptEnd.TIMED_OUT : reportedEnd;
        switch (end) {
            case ANSWERED -> recordAnswer(server, health, attempt, age, nowNanos);
            case FAILED -> recordError(server, health, attempt, nowNanos);
            case TIMED_OUT -> recordTimeout(server, health, attempt, nowNanos);
            case NOT_CONNECTED, REFUSED, NEUTRAL -> {}
        }
    }

    private void recordAnswer(String server, ServerHealth health, MonitoredAttempt attempt, long age, long nowNanos) {
        health.evidence().markOvertaken(attempt, clock.observedNanos());
        typicalTimes
                .typicalOfPeers(attempt.route(), server)
                .ifPresent(typical -> health.recordAnswer(age, typical, time(nowNanos)));
        health.recordError(attempt.route(), false, errorRates.rateOfPeers(attempt.route(), server), time(nowNanos));
        errorRates.record(server, attempt.route(), false);
        if (health.condition() == ServerCondition.IN_SERVICE) {
            typicalTimes.record(server, attempt.route(), age);
        }
    }

    private void recordError(String server, ServerHealth health, MonitoredAttempt attempt, long nowNanos) {
        health.recordError(attempt.route(), true, errorRates.rateOfPeers(attempt.route(), server), time(nowNanos));
        errorRates.record(server, attempt.route(), true);
    }

    private void recordTimeout(String server, ServerHealth health, MonitoredAttempt attempt, long nowNanos) {
        double surprisal = typicalTimes
                .typical(attempt.route())
                .map(typical ->
                        StallDetector.surprisal(attempt, typical.slowedBy(health.slowness()), clock.observedNanos()))
                .orElse(0.0);
        if (surprisal >= TIMEOUT_SURPRISAL_NATS) {
            health.recordTimeout(surprisal, time(nowNanos));
            errorRates.record(server, attempt.route(), true);
        }
    }

    /** Records the state that a server reported to a probe, empty if the probe failed. */
    public void probeEnded(String server, Optional<ServerState> state, long nowNanos) {
        find(server).ifPresent(health -> {
            if (state.isEmpty()) {
                health.path().recordProbeFailure();
            } else {
                lastResponseNanos.put(server, nowNanos);
                health.path().recordAnswer();
                recordState(server, health, state.get(), nowNanos);
            }
            evaluate(server, health, nowNanos);
        });
    }

    private void recordState(String server, ServerHealth health, ServerState state, long nowNanos) {
        switch (state) {
            case DRAINING -> {
                drainSources.reportDraining(server, nowNanos);
                health.drain("draining by its own word", time(nowNanos));
            }
            case COLD -> {
                endReportedDrain(server, health, nowNanos);
                health.reportCold(time(nowNanos));
            }
            case READY -> {
                endReportedDrain(server, health, nowNanos);
                health.reportReady();
            }
            case UNSTATED, SHEDDING -> {}
        }
    }

    private void endReportedDrain(String server, ServerHealth health, long nowNanos) {
        if (!drainSources.reportNotDraining(server, nowNanos)) {
            health.endDrain(time(nowNanos));
        }
    }

    /** Records the typical service times that another owner of the service measured. */
    public void serviceTimesReceived(String sender, Map<String, Long> typicalNanos, long nowNanos) {
        typicalTimes.recordReported(sender, typicalNanos, nowNanos);
    }

    /** Records whether another VM can reach the server. */
    public void reachabilityReported(String server, boolean reachable, long nowNanos) {
        find(server).ifPresent(health -> {
            health.path().recordPeerReport(reachable, nowNanos);
            evaluate(server, health, nowNanos);
        });
    }

    /** Records that the grant to eject the server is held until the given time. */
    public void grantReceived(String server, long untilNanos, long nowNanos) {
        find(server)
                .ifPresentOrElse(
                        health -> health.granted(untilNanos, time(nowNanos)), () -> commands.releaseGrant(server));
    }

    /** Records that the grant to eject the server was revoked before its end. */
    public void grantRevoked(String server, long nowNanos) {
        find(server).ifPresent(health -> health.revoked(time(nowNanos)));
    }

    /** Evaluates all servers; to be called at least every 50 ms. */
    public void tick(long nowNanos) {
        typicalTimes.expireReported(nowNanos);
        servers.forEach((name, server) -> {
            server.evidence().decay(clock.observedNanos());
            evaluate(name, server, nowNanos);
            probeIfSilent(name, nowNanos);
        });
        if (nowNanos - sharedNanos >= SHARE_INTERVAL_NANOS) {
            sharedNanos = nowNanos;
            Map<String, Long> medians = typicalTimes.ownMedians();
            if (!medians.isEmpty()) {
                commands.shareServiceTimes(medians);
            }
        }
    }

    private void evaluate(String name, ServerHealth server, long nowNanos) {
        Finding finding = finding(server);
        boolean allSuspected = server.condition() == ServerCondition.SUSPECTED && areOthersSuspected(name);
        server.evaluate(finding, allSuspected, time(nowNanos));
        server.cancelOverdue(finding, typicalTimes, clock.observedNanos());
    }

    private Finding finding(ServerHealth server) {
        return server.evidence().finding(typicalTimes, server.slowness(), clock.observedNanos());
    }

    private boolean areOthersSuspected(String name) {
        List<ServerHealth> others = servers.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(name))
                .map(Map.Entry::getValue)
                .filter(other -> other.condition() != ServerCondition.DRAINING)
                .toList();
        return !others.isEmpty()
                && others.stream().allMatch(other -> finding(other).nats() >= other.suspicionNats());
    }

    private void probeIfSilent(String server, long nowNanos) {
        if (nowNanos - lastResponseNanos.get(server) >= SILENCE_LIMIT_NANOS) {
            lastResponseNanos.put(server, nowNanos);
            commands.probe(server);
        }
    }

    /** Returns the slots of the server that new requests may use, 0 if it receives none. */
    public int allowedSlots(ServerSpec spec, long nowNanos) {
        return find(spec.name())
                .map(health -> health.allowedSlots(spec.slots(), nowNanos))
                .orElse(0);
    }

    /** Returns a suspected server or one in probation that is due for a trial with an idempotent request. */
    public Optional<String> findServerDueForTrial(long nowNanos) {
        return servers.entrySet().stream()
                .filter(entry -> entry.getValue().isTrialDue(nowNanos))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Returns the time during which this process was running; only differences have a meaning. */
    public long observedNanos() {
        return clock.observedNanos();
    }

    /** Returns the condition of the server. */
    public ServerCondition condition(String server) {
        return find(server).map(ServerHealth::condition).orElse(ServerCondition.IN_SERVICE);
    }

    /** Returns why the server is in its condition, empty if in service. */
    public String reason(String server) {
        return find(server).map(ServerHealth::reason).orElse("");
    }

    /** Returns the names of all servers. */
    public Collection<String> serverNames() {
        return servers.keySet();
    }

    private EventTime time(long nowNanos) {
        return new EventTime(nowNanos, clock.observedNanos());
    }

    private Optional<ServerHealth> find(String server) {
        return Optional.ofNullable(servers.get(server));
    }
}
