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
 * Judges the servers of one group. Not safe for use by several threads.
 *
 * <pre>{@code
 * health.advance(now);
 * health.dispatched("try-1", "rotavis-3", "rotavis/week", true, now);
 * health.ended("try-1", "rotavis-3", AttemptEnd.ANSWERED, ServerState.READY, now);
 * health.tick(now);
 * int slots = health.allowedSlots(spec, now);
 * }</pre>
 */
public final class GroupHealth {
    private static final long SHARE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    /** A server that has said nothing for so long is probed. */
    private static final long QUIET_LIMIT_NANOS = Duration.ofSeconds(5).toNanos();
    /** A try whose life was not observed for longer than this says nothing about its server. */
    private static final long UNOBSERVED_LIMIT_NANOS = Duration.ofMillis(500).toNanos();
    /** A timeout speaks against the server if the try was so surprisingly late. */
    private static final double TIMEOUT_NATS = 3.0;

    private final HealthCommands commands;
    private final Function<ServiceSpec, HealthPolicy> policies;
    private final ObservedClock clock = new ObservedClock();
    private final TypicalServiceTimes usualTimes = new TypicalServiceTimes();
    private final ErrorRates errorRates = new ErrorRates();
    private final Map<String, ServerHealth> servers = new TreeMap<>();
    private final Map<String, Long> lastHeardNanos = new TreeMap<>();
    private final DrainSources drainSigns = new DrainSources();

    private boolean configured;
    private long sharedNanos;

    /** Returns the health of a group without servers yet. */
    public GroupHealth(Function<ServiceSpec, HealthPolicy> policies, HealthCommands commands) {
        this.policies = policies;
        this.commands = commands;
    }

    /** Takes in the time of the event at hand; to be called first for each event. */
    public void advance(long nowNanos) {
        clock.advance(nowNanos);
        servers.values().forEach(server -> server.expireRight(time(nowNanos)));
    }

    /** Takes in the servers of the group. Those that join a group already known start cold. */
    public void configure(ServiceSpec service, List<ServerSpec> specs, long nowNanos) {
        HealthPolicy policy = policies.apply(service);
        Set<String> names = new HashSet<>();
        specs.forEach(spec -> names.add(spec.name()));
        Set<String> gone = new HashSet<>(servers.keySet());
        gone.removeAll(names);
        gone.forEach(this::forget);
        for (ServerSpec spec : specs) {
            boolean joined = !servers.containsKey(spec.name());
            ServerHealth server =
                    servers.computeIfAbsent(spec.name(), name -> new ServerHealth(name, policy, commands, nowNanos));
            server.setPolicy(policy);
            if (joined && configured) {
                server.startCold(time(nowNanos));
            }
            lastHeardNanos.putIfAbsent(spec.name(), nowNanos);
            applyTicketDrain(spec, server, nowNanos);
        }
        configured = true;
    }

    private void forget(String server) {
        servers.remove(server);
        lastHeardNanos.remove(server);
        drainSigns.remove(server);
        usualTimes.remove(server);
        errorRates.remove(server);
    }

    private void applyTicketDrain(ServerSpec spec, ServerHealth server, long nowNanos) {
        if (!drainSigns.setByTicket(spec.name(), spec.draining())) {
            server.endDrain(time(nowNanos));
        } else if (spec.draining()) {
            server.drain("draining by ticket", time(nowNanos));
        }
    }

    /** Takes in that a try was sent to a server. */
    public void dispatched(String attemptId, String server, String route, boolean idempotent, long nowNanos) {
        MonitoredAttempt watched = new MonitoredAttempt(attemptId, route, idempotent, nowNanos, clock.observedNanos());
        find(server).ifPresent(health -> health.dispatched(watched, nowNanos));
    }

    /** Takes in how a try ended and what the server said of itself. */
    public void ended(String attemptId, String server, AttemptEnd end, ServerState state, long nowNanos) {
        Optional<ServerHealth> health = find(server);
        if (health.isEmpty()) {
            return;
        }
        Optional<MonitoredAttempt> watched = health.get().evidence().ended(attemptId);
        hearOfPath(server, health.get(), end, state, nowNanos);
        hear(server, health.get(), state, nowNanos);
        watched.filter(known -> isTelling(known, health.get(), nowNanos))
                .ifPresent(known -> judge(server, health.get(), known, end, nowNanos));
        evaluate(server, health.get(), nowNanos);
    }

    private void hearOfPath(String server, ServerHealth health, AttemptEnd end, ServerState state, long nowNanos) {
        if (end == AttemptEnd.ANSWERED || state != ServerState.UNSTATED) {
            lastHeardNanos.put(server, nowNanos);
            health.path().recordAnswer();
        } else if (end == AttemptEnd.NOT_CONNECTED) {
            health.path().recordConnectFailure();
        }
    }

    private boolean isTelling(MonitoredAttempt watched, ServerHealth health, long nowNanos) {
        return !watched.isIgnored()
                && watched.unobservedNanos(nowNanos, clock.observedNanos()) <= UNOBSERVED_LIMIT_NANOS
                && health.condition() != ServerCondition.DRAINING;
    }

    private void judge(String server, ServerHealth health, MonitoredAttempt watched, AttemptEnd told, long nowNanos) {
        long age = watched.ageNanos(clock.observedNanos());
        AttemptEnd end = watched.isCancelled() && told != AttemptEnd.ANSWERED ? AttemptEnd.TIMED_OUT : told;
        switch (end) {
            case ANSWERED -> judgeAnswer(server, health, watched, age, nowNanos);
            case FAILED -> judgeError(server, health, watched, nowNanos);
            case TIMED_OUT -> judgeTimeout(server, health, watched, nowNanos);
            case NOT_CONNECTED, REFUSED, NEUTRAL -> {}
        }
    }

    private void judgeAnswer(String server, ServerHealth health, MonitoredAttempt watched, long age, long nowNanos) {
        health.evidence().markOvertaken(watched, clock.observedNanos());
        usualTimes
                .typicalOfPeers(watched.route(), server)
                .ifPresent(usual -> health.recordAnswer(age, usual, time(nowNanos)));
        health.recordError(watched.route(), false, errorRates.rateOfPeers(watched.route(), server), time(nowNanos));
        errorRates.record(server, watched.route(), false);
        if (health.condition() == ServerCondition.IN_SERVICE) {
            usualTimes.record(server, watched.route(), age);
        }
    }

    private void judgeError(String server, ServerHealth health, MonitoredAttempt watched, long nowNanos) {
        health.recordError(watched.route(), true, errorRates.rateOfPeers(watched.route(), server), time(nowNanos));
        errorRates.record(server, watched.route(), true);
    }

    private void judgeTimeout(String server, ServerHealth health, MonitoredAttempt watched, long nowNanos) {
        double surprise = usualTimes
                .typical(watched.route())
                .map(usual ->
                        StallDetector.surprisal(watched, usual.slowedBy(health.slowness()), clock.observedNanos()))
                .orElse(0.0);
        if (surprise >= TIMEOUT_NATS) {
            health.recordTimeout(surprise, time(nowNanos));
            errorRates.record(server, watched.route(), true);
        }
    }

    /** Takes in what a server says of itself through a probe, empty if the probe failed. */
    public void probeEnded(String server, Optional<ServerState> state, long nowNanos) {
        find(server).ifPresent(health -> {
            if (state.isEmpty()) {
                health.path().recordProbeFailure();
            } else {
                lastHeardNanos.put(server, nowNanos);
                health.path().recordAnswer();
                hear(server, health, state.get(), nowNanos);
            }
            evaluate(server, health, nowNanos);
        });
    }

    private void hear(String server, ServerHealth health, ServerState state, long nowNanos) {
        switch (state) {
            case DRAINING -> {
                drainSigns.reportDraining(server, nowNanos);
                health.drain("draining by its own word", time(nowNanos));
            }
            case COLD -> {
                endOwnDrain(server, health, nowNanos);
                health.reportCold(time(nowNanos));
            }
            case READY -> {
                endOwnDrain(server, health, nowNanos);
                health.reportReady();
            }
            case UNSTATED, SHEDDING -> {}
        }
    }

    private void endOwnDrain(String server, ServerHealth health, long nowNanos) {
        if (!drainSigns.reportNotDraining(server, nowNanos)) {
            health.endDrain(time(nowNanos));
        }
    }

    /** Takes in the usual times that another owner of the service sees. */
    public void serviceTimesReceived(String sender, Map<String, Long> usualNanos, long nowNanos) {
        usualTimes.recordReported(sender, usualNanos, nowNanos);
    }

    /** Takes in whether another VM reaches the server. */
    public void reachabilityReported(String server, boolean reachable, long nowNanos) {
        find(server).ifPresent(health -> {
            health.path().recordPeerReport(reachable, nowNanos);
            evaluate(server, health, nowNanos);
        });
    }

    /** Takes in that the right to eject the server is held until the given time. */
    public void ejectionGranted(String server, long untilNanos, long nowNanos) {
        find(server)
                .ifPresentOrElse(
                        health -> health.granted(untilNanos, time(nowNanos)), () -> commands.releaseEjection(server));
    }

    /** Takes in that the right to eject the server ended early. */
    public void ejectionRevoked(String server, long nowNanos) {
        find(server).ifPresent(health -> health.revoked(time(nowNanos)));
    }

    /** Judges all servers; to be called at least every 50 ms. */
    public void tick(long nowNanos) {
        usualTimes.expireReported(nowNanos);
        servers.forEach((name, server) -> {
            server.evidence().decay(clock.observedNanos());
            evaluate(name, server, nowNanos);
            probeIfQuiet(name, nowNanos);
        });
        if (nowNanos - sharedNanos >= SHARE_INTERVAL_NANOS) {
            sharedNanos = nowNanos;
            Map<String, Long> medians = usualTimes.ownMedians();
            if (!medians.isEmpty()) {
                commands.shareServiceTimes(medians);
            }
        }
    }

    private void evaluate(String name, ServerHealth server, long nowNanos) {
        Finding finding = finding(server);
        boolean common = server.condition() == ServerCondition.SUSPECTED && isCommon(name);
        server.evaluate(finding, common, time(nowNanos));
        server.cancelOverdue(finding, usualTimes, clock.observedNanos());
    }

    private Finding finding(ServerHealth server) {
        return server.evidence().finding(usualTimes, server.slowness(), clock.observedNanos());
    }

    private boolean isCommon(String name) {
        List<ServerHealth> others = servers.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(name))
                .map(Map.Entry::getValue)
                .filter(other -> other.condition() != ServerCondition.DRAINING)
                .toList();
        return !others.isEmpty()
                && others.stream().allMatch(other -> finding(other).nats() >= other.suspicionNats());
    }

    private void probeIfQuiet(String server, long nowNanos) {
        if (nowNanos - lastHeardNanos.get(server) >= QUIET_LIMIT_NANOS) {
            lastHeardNanos.put(server, nowNanos);
            commands.probe(server);
        }
    }

    /** Returns the slots of the server that new work may use, 0 if it gets none. */
    public int allowedSlots(ServerSpec spec, long nowNanos) {
        return find(spec.name())
                .map(health -> health.allowedSlots(spec.slots(), nowNanos))
                .orElse(0);
    }

    /** Returns a server in suspicion or probation that is to be tried with idempotent work. */
    public Optional<String> findServerDueForTrial(long nowNanos) {
        return servers.entrySet().stream()
                .filter(entry -> entry.getValue().isTrialDue(nowNanos))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Returns the time that this process really observed; only differences have a meaning. */
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
