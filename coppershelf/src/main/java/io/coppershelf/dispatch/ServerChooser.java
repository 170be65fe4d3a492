package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.health.estimate.HealthEstimate;
import io.coppershelf.health.estimate.HealthEstimates;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Chooses the server with the lowest expected loss: the sum of the losses due to the probability that it fails the
 * request, to its load and to traffic between data centres. An unhealthy server is thus the last choice but never
 * excluded, so that a wrong estimate takes no capacity out of service. Not thread-safe.
 */
public final class ServerChooser {
    /** Loss due to a failure of a request that can't be retried, as a share of its value. */
    private static final double LAST_ATTEMPT_FAILURE_LOSS = 1.0;
    /** Loss due to a failure of a request that can be retried: the delay, and a share of the retry budget. */
    private static final double RETRYABLE_FAILURE_LOSS = 0.6;
    /** Share of the requests that an unhealthy server fails. */
    private static final double UNHEALTHY_FAILURE_SHARE = 0.8;
    /** Loss at a server on which the request takes the last free slot; servers slow down when nearly full. */
    private static final double FULL_SLOTS_LOSS = 0.06;
    /**
     * Loss for the first round of requests that are queued at the server; half of it grows with the square of the
     * rounds, since objectives are about three times the typical latency and a request in the third round is late.
     */
    private static final double QUEUED_ROUND_LOSS = 0.3;
    /**
     * Loss of a request that can't be retried at a server that had a failure episode lately. The server is used when
     * the others have no free slot, but before requests are queued.
     */
    private static final double UNSTABLE_LOSS = 0.07;
    /** Loss of a request that can't be retried at a server of whose failures this VM learns late, from summaries. */
    private static final double STALE_LOSS = 0.05;
    /** Loss at a cold server, which is still slow after its start. */
    private static final double COLD_LOSS = 0.04;
    /** Loss due to the traffic of small bodies between data centres. */
    private static final double REMOTE_LOSS = 0.012;
    /** Loss due to the traffic of a large body between data centres. */
    private static final double REMOTE_LARGE_LOSS = 0.12;
    /** Loss at a server in backoff, which the last connection attempts failed to reach. */
    private static final double BACKOFF_LOSS = 2.0;
    /**
     * Loss due to a new connection, where the deployment asks for few of them. It is above the random loss, so that
     * idle servers with a connection go first, and below that of the second slot of three.
     */
    private static final double NEW_CONNECTION_LOSS = 0.015;
    /** Largest random loss, which spreads the requests over servers of about equal loss. */
    private static final double JITTER_LOSS = 0.01;

    /** Longest random part of the time after which a caller may retry. */
    private static final long MAX_SPREAD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final String dataCentre;
    private final HealthEstimates estimates;
    private final FleetLoad fleetLoad;
    private final IdleServerTracker idleServers;
    private final ServerLimits limits;
    private final Supplier<FleetPosition> position;
    private final Random random;
    private final Map<String, ServerStats> statsByServer = new HashMap<>();
    private Optional<ConnectionReuse> reuse = Optional.empty();

    /**
     * Creates a chooser without server statistics.
     *
     * @param dataCentre the data centre of this VM
     * @param estimates the health estimates of the servers
     * @param fleetLoad the requests that other VMs have in flight
     * @param idleServers finds the servers that need a request to keep the floor
     * @param limits the limits that the servers name
     * @param position returns the position of this VM among the live VMs
     */
    public ServerChooser(
            String dataCentre,
            HealthEstimates estimates,
            FleetLoad fleetLoad,
            IdleServerTracker idleServers,
            ServerLimits limits,
            Supplier<FleetPosition> position,
            Random random) {
        this.dataCentre = dataCentre;
        this.estimates = estimates;
        this.fleetLoad = fleetLoad;
        this.idleServers = idleServers;
        this.limits = limits;
        this.position = position;
        this.random = random;
    }

    /** Prefers servers to which this VM has a connection that can be reused; without this call all are equal. */
    public void preferReuse(ConnectionReuse rule) {
        reuse = Optional.of(rule);
    }

    /** Returns the statistics of a server; a new incarnation starts with empty ones. */
    public ServerStats stats(BackendServer server) {
        ServerStats known = statsByServer.get(server.id());
        if (known != null && known.isOf(server)) {
            return known;
        }
        ServerStats created = new ServerStats(server);
        statsByServer.put(server.id(), created);
        return created;
    }

    /**
     * Returns the server for a request, empty if all servers of the service are excluded, pause or are at their limit.
     *
     * @param servers the servers of the service that accept requests
     * @param isLastAttempt whether the request can't be retried if the server fails it
     * @param excluded the ids of servers that the request was already assigned to
     */
    public Optional<BackendServer> choose(
            List<BackendServer> servers, RequestKind kind, boolean isLastAttempt, Set<String> excluded, long nowNanos) {
        List<BackendServer> idle = idleServers(servers, kind, isLastAttempt, nowNanos);
        List<BackendServer> overdue = idle.stream()
                .filter(server -> idleServers.isOverdue(stats(server).code(), nowNanos))
                .toList();
        return best(overdue, kind, isLastAttempt, excluded, nowNanos)
                .or(() -> isLastAttempt || kind.isLarge()
                        ? Optional.empty()
                        : best(serversToTest(servers, nowNanos), kind, false, excluded, nowNanos))
                .or(() -> best(idle, kind, isLastAttempt, excluded, nowNanos))
                .or(() -> best(servers, kind, isLastAttempt, excluded, nowNanos));
    }

    /**
     * Returns the idle servers, one of which has to get the next request to keep the floor; only those of the own data
     * centre if the request is large, since traffic of large bodies between data centres costs more than the floor is
     * worth.
     *
     * @param servers the servers of the service that accept requests
     * @param isLastAttempt whether the request can't be retried if the server fails it
     */
    public List<BackendServer> idleServers(
            List<BackendServer> servers, RequestKind kind, boolean isLastAttempt, long nowNanos) {
        return idleServers.idleServers(
                eligibleForFloor(servers, kind, nowNanos),
                server -> stats(server).code(),
                isLastAttempt,
                nowNanos);
    }

    /** Returns the servers that get the next request that can be retried, since no other may test their health. */
    private List<BackendServer> serversToTest(List<BackendServer> servers, long nowNanos) {
        return servers.stream()
                .filter(server -> isTestDue(server, nowNanos) && canTakeTrial(server, nowNanos))
                .toList();
    }

    private boolean isTestDue(BackendServer server, long nowNanos) {
        HealthEstimate estimate = estimates.estimate(stats(server).key(), nowNanos);
        return estimate.needsTest(nowNanos)
                && idleServers.allowsTest(stats(server).code(), estimate.hasRecentError(nowNanos), nowNanos);
    }

    /** Returns the servers that may get a request that tests their health. */
    private List<BackendServer> eligibleForFloor(List<BackendServer> servers, RequestKind kind, long nowNanos) {
        return servers.stream()
                .filter(server -> !kind.isLarge() || server.dataCentre().equals(dataCentre))
                .filter(server -> canTakeTrial(server, nowNanos) && allowsTrial(server, nowNanos))
                .toList();
    }

    /** Returns whether the health of the server does not speak against a request. */
    boolean allowsTrial(BackendServer server, long nowNanos) {
        return estimates.estimate(stats(server).key(), nowNanos).allowsTrialRequest(nowNanos);
    }

    /** Returns whether this VM sees the requests to the server, and there was none for some time. */
    boolean isIdle(BackendServer server, long idleNanos, long nowNanos) {
        return isCounted(server.dataCentre())
                && idleServers.isIdle(stats(server).code(), idleNanos, nowNanos);
    }

    /** Returns whether this VM sees the requests to the server, which is not in backoff and has a free slot. */
    boolean canTakeTrial(BackendServer server, long nowNanos) {
        return isCounted(server.dataCentre()) && isAvailable(server, nowNanos) && hasFreeSlot(server, nowNanos);
    }

    /** Returns the time until the server is likely to accept a request; 0 if it accepts one now. */
    long remainingWaitNanos(BackendServer server, long nowNanos) {
        ServerStats stats = stats(server);
        stats.limit(limits.limit(stats.code()), position.get(), nowNanos);
        return stats.remainingWaitNanos(nowNanos);
    }

    /** Returns whether the success of a request that was sent at a time shows that the server is healthy now. */
    public boolean isSuccessCurrent(BackendServer server, long sentNanos) {
        return estimates.estimate(stats(server).key(), sentNanos).isCurrent(sentNanos);
    }

    /** Returns whether the server is more likely to be unhealthy than others. */
    public boolean isSuspected(BackendServer server, long nowNanos) {
        return estimates.estimate(stats(server).key(), nowNanos).isSuspected(nowNanos);
    }

    /** Returns whether the server is estimated to have a free slot. */
    public boolean hasFreeSlot(BackendServer server, long nowNanos) {
        return estimatedLoad(server, nowNanos) < server.slots();
    }

    /**
     * Records the limit that a server names in an answer.
     *
     * @param perSecond the requests of all VMs a second, empty if it names none
     * @return whether other VMs need to know it
     */
    public boolean recordLimit(BackendServer server, Optional<Double> perSecond, long nowNanos) {
        return limits.record(stats(server).code(), perSecond, nowNanos);
    }

    /** Returns the estimated number of requests that the server has from all VMs. */
    double estimatedLoad(BackendServer server, long nowNanos) {
        return estimatedLoad(stats(server), nowNanos);
    }

    private double estimatedLoad(ServerStats stats, long nowNanos) {
        return stats.estimatedLoad(fleetLoad.inFlightOfOthers(stats.code()), nowNanos);
    }

    /** Returns the requests that this VM has in flight at the server, and the other VMs by their last reports. */
    public int countedLoad(BackendServer server) {
        return stats(server).inFlight() + inFlightOfOthers(server);
    }

    /** Returns whether this VM receives the counts, not only summaries, for the servers of the data centre. */
    public boolean isCounted(String countedDataCentre) {
        return idleServers.covers(countedDataCentre);
    }

    /** Returns the time since the last message on the load of the server, empty if there was none. */
    public Optional<Duration> countAge(BackendServer server, long nowNanos) {
        if (position.get().size() <= 1) {
            return Optional.of(Duration.ZERO);
        }
        return (isCounted(server.dataCentre())
                        ? fleetLoad.countedNanos()
                        : fleetLoad.summaryNanos(stats(server).code()))
                .map(at -> Duration.ofNanos(Math.max(0, nowNanos - at)));
    }

    /** Returns whether the server accepts requests of this VM now. */
    public boolean isAvailable(BackendServer server, long nowNanos) {
        return remainingWaitNanos(server, nowNanos) == 0 && !stats(server).isInBackoff(nowNanos);
    }

    /** Returns the number of requests that other VMs have in flight at the server. */
    public int inFlightOfOthers(BackendServer server) {
        return fleetLoad.inFlightOfOthers(stats(server).code());
    }

    private Optional<BackendServer> best(
            List<BackendServer> servers, RequestKind kind, boolean isLastAttempt, Set<String> excluded, long nowNanos) {
        BackendServer best = null;
        double bestLoss = Double.POSITIVE_INFINITY;
        for (BackendServer server : servers) {
            if (excluded.contains(server.id()) || remainingWaitNanos(server, nowNanos) > 0) {
                continue;
            }
            double loss = loss(server, kind, isLastAttempt, nowNanos);
            if (loss < bestLoss) {
                best = server;
                bestLoss = loss;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the time after which a caller may retry if all servers requested a pause or are at their limit: until the
     * first of them accepts requests again, with a random part that spreads the callers. Empty if a server accepts
     * requests now.
     */
    public Optional<Duration> pause(List<BackendServer> servers, long nowNanos) {
        return servers.stream()
                .map(server -> remainingWaitNanos(server, nowNanos))
                .min(Comparator.naturalOrder())
                .filter(remaining -> remaining > 0)
                .map(remaining -> Duration.ofNanos(
                        remaining + (long) (random.nextDouble() * Math.min(remaining, MAX_SPREAD_NANOS))));
    }

    /** Returns the inputs to the choice of a server at this time. */
    public ChoiceInputs inputs(BackendServer server, long nowNanos) {
        HealthEstimate estimate = estimates.estimate(stats(server).key(), nowNanos);
        return new ChoiceInputs(
                estimate.unhealthyProbabilityAt(nowNanos),
                Duration.ofNanos(Math.max(0, nowNanos - estimate.atNanos())),
                estimatedLoad(server, nowNanos),
                idleServers.idleTime(stats(server).code(), nowNanos).filter(time -> isCounted(server.dataCentre())),
                estimate.evidence());
    }

    /** Returns the expected loss of sending the request to the server, as a share of the request's value. */
    double loss(BackendServer server, RequestKind kind, boolean isLastAttempt, long nowNanos) {
        ServerStats stats = stats(server);
        HealthEstimate estimate = estimates.estimate(stats.key(), nowNanos);
        double failure = UNHEALTHY_FAILURE_SHARE * estimate.unhealthyProbabilityAt(nowNanos);
        double loss = failure * (isLastAttempt ? LAST_ATTEMPT_FAILURE_LOSS : RETRYABLE_FAILURE_LOSS);
        loss += loadLoss(estimatedLoad(stats, nowNanos), server.slots());
        loss += stats.isInBackoff(nowNanos) ? BACKOFF_LOSS : 0;
        if (!server.dataCentre().equals(dataCentre)) {
            loss += kind.isLarge() ? REMOTE_LARGE_LOSS : REMOTE_LOSS;
        }
        loss += isLastAttempt && estimate.isUnstable(nowNanos) ? UNSTABLE_LOSS : 0;
        loss += isLastAttempt && !isCounted(server.dataCentre()) ? STALE_LOSS : 0;
        loss += server.isCold() ? COLD_LOSS : 0;
        loss += needsNewConnection(stats, kind, nowNanos) ? NEW_CONNECTION_LOSS : 0;
        return loss + JITTER_LOSS * random.nextDouble();
    }

    private boolean needsNewConnection(ServerStats stats, RequestKind kind, long nowNanos) {
        return reuse.isPresent() && !stats.hasIdleConnection(reuse.get().maxIdleNanos(kind), nowNanos);
    }

    private static double loadLoss(double estimatedLoad, int slots) {
        double fill = (estimatedLoad + 1) / Math.max(1, slots);
        if (fill <= 1) {
            return FULL_SLOTS_LOSS * fill * fill;
        }
        double rounds = fill - 1;
        return FULL_SLOTS_LOSS + QUEUED_ROUND_LOSS * (rounds + rounds * rounds) / 2;
    }

    /** Ends the backoff of all servers. */
    public void forgetPathFailures() {
        statsByServer.values().forEach(ServerStats::recordPathSuccess);
    }

    /** Removes the statistics of servers that are no longer registered and have no request of this VM in flight. */
    public void retain(ServerList servers) {
        statsByServer
                .entrySet()
                .removeIf(entry -> servers.server(entry.getKey()).isEmpty()
                        && entry.getValue().inFlight() == 0);
    }
}
