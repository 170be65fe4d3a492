package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.health.estimate.HealthEstimate;
import io.coppershelf.health.estimate.HealthEstimates;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Chooses the server with the least expected loss: the chance that it fails the request, the delay by its load, the
 * bytes between data centres. A sick server is thus the last choice but never forbidden, so that no share of the
 * fleet's capacity is taken out of service by a wrong belief. Not safe for several threads.
 */
public final class ServerChooser {
    /** Loss by a failure, as a share of the worth of a request that can't be sent again. */
    private static final double LAST_FAILURE_LOSS = 1.0;
    /** Loss by a failure of a request that may be sent again: the delay, and a share of the budget for repeats. */
    private static final double REPEATABLE_FAILURE_LOSS = 0.6;
    /** Share of the requests that a sick server fails. */
    private static final double SICK_FAILURE_SHARE = 0.8;
    /** Loss at a server whose slots are all busy but for this VM's request; it slows down when nearly full. */
    private static final double FULL_SLOTS_LOSS = 0.06;
    /**
     * Loss for the first round of requests that wait at the server, half of it growing with the square of the rounds:
     * objectives are about three times the usual time, and what waits for a third round is late.
     */
    private static final double WAITING_ROUND_LOSS = 0.3;
    /** Loss at a server that is still cold. */
    private static final double COLD_LOSS = 0.04;
    /** Loss by the bytes of a small answer between data centres. */
    private static final double REMOTE_LOSS = 0.012;
    /** Loss by the bytes of a large answer between data centres. */
    private static final double REMOTE_LARGE_LOSS = 0.12;
    /** Loss where the last connection attempts failed. */
    private static final double BROKEN_PATH_LOSS = 2.0;
    /** Spreads choices among servers that are about as good. */
    private static final double JITTER_LOSS = 0.01;

    private final String dataCentre;
    private final HealthEstimates beliefs;
    private final FleetLoad fleetLoad;
    private final IdleServerTracker spread;
    private final Random random;
    private final Map<String, ServerStats> uses = new HashMap<>();

    /**
     * Creates a chooser without knowledge of loads.
     *
     * @param dataCentre the data centre of this VM
     * @param beliefs what the fleet believes of servers
     * @param fleetLoad the requests of other VMs
     * @param spread keeps the floor of servers in use
     */
    public ServerChooser(
            String dataCentre, HealthEstimates beliefs, FleetLoad fleetLoad, IdleServerTracker spread, Random random) {
        this.dataCentre = dataCentre;
        this.beliefs = beliefs;
        this.fleetLoad = fleetLoad;
        this.spread = spread;
        this.random = random;
    }

    /** Returns what is known of the use of a server; nothing is known of a new incarnation. */
    public ServerStats stats(BackendServer server) {
        ServerStats known = uses.get(server.id());
        if (known != null && known.isOf(server)) {
            return known;
        }
        ServerStats created = new ServerStats(server);
        uses.put(server.id(), created);
        return created;
    }

    /**
     * Returns the server for a request, empty if all servers of the service are excluded.
     *
     * @param servers the servers of the service that take requests
     * @param isLastChance whether the request can't be sent again if the server fails it
     * @param excluded the ids of servers that have had the request
     */
    public Optional<BackendServer> choose(
            List<BackendServer> servers, RequestKind kind, boolean isLastChance, Set<String> excluded, long nowNanos) {
        Optional<BackendServer> forFloor = kind == RequestKind.LARGE_ANSWER
                ? Optional.empty()
                : best(
                        spread.idleServers(
                                unsuspected(servers, nowNanos),
                                server -> stats(server).code(),
                                isLastChance,
                                nowNanos),
                        kind,
                        isLastChance,
                        excluded,
                        nowNanos);
        return forFloor.isPresent() ? forFloor : best(servers, kind, isLastChance, excluded, nowNanos);
    }

    /** Returns the servers that can be reached, have a free slot and are not suspected. */
    private List<BackendServer> unsuspected(List<BackendServer> servers, long nowNanos) {
        return servers.stream()
                .filter(server -> !stats(server).isInBackoff(nowNanos))
                .filter(server -> busy(server, nowNanos) < server.slots())
                .filter(server ->
                        beliefs.estimate(stats(server).key(), nowNanos).allowsTrialRequest(nowNanos))
                .toList();
    }

    private double busy(BackendServer server, long nowNanos) {
        ServerStats use = stats(server);
        return use.estimatedLoad(fleetLoad.inFlightOfOthers(use.code()), nowNanos);
    }

    private Optional<BackendServer> best(
            List<BackendServer> servers, RequestKind kind, boolean isLastChance, Set<String> excluded, long nowNanos) {
        BackendServer best = null;
        double bestLoss = Double.POSITIVE_INFINITY;
        for (BackendServer server : servers) {
            if (excluded.contains(server.id())) {
                continue;
            }
            double loss = loss(server, kind, isLastChance, nowNanos);
            if (loss < bestLoss) {
                best = server;
                bestLoss = loss;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns what the choice of a server goes by at this time. */
    public ChoiceInputs inputs(BackendServer server, long nowNanos) {
        HealthEstimate belief = beliefs.estimate(stats(server).key(), nowNanos);
        return new ChoiceInputs(
                belief.unhealthyProbabilityAt(nowNanos),
                Duration.ofNanos(Math.max(0, nowNanos - belief.atNanos())),
                busy(server, nowNanos));
    }

    /** Returns the expected loss of sending a request to the server, as a share of its worth. */
    double loss(BackendServer server, RequestKind kind, boolean isLastChance, long nowNanos) {
        double failure = SICK_FAILURE_SHARE
                * beliefs.estimate(stats(server).key(), nowNanos).unhealthyProbabilityAt(nowNanos);
        double loss = failure * (isLastChance ? LAST_FAILURE_LOSS : REPEATABLE_FAILURE_LOSS);
        loss += loadLoss(busy(server, nowNanos), server.slots());
        loss += stats(server).isInBackoff(nowNanos) ? BROKEN_PATH_LOSS : 0;
        if (!server.dataCentre().equals(dataCentre)) {
            loss += kind == RequestKind.LARGE_ANSWER ? REMOTE_LARGE_LOSS : REMOTE_LOSS;
        }
        loss += server.isCold() ? COLD_LOSS : 0;
        return loss + JITTER_LOSS * random.nextDouble();
    }

    private static double loadLoss(double busy, int slots) {
        double fill = (busy + 1) / Math.max(1, slots);
        if (fill <= 1) {
            return FULL_SLOTS_LOSS * fill * fill;
        }
        double rounds = fill - 1;
        return FULL_SLOTS_LOSS + WAITING_ROUND_LOSS * (rounds + rounds * rounds) / 2;
    }

    /** Forgets the servers that are not registered any more and have no request of this VM. */
    public void retain(ServerList servers) {
        uses.entrySet()
                .removeIf(entry -> servers.server(entry.getKey()).isEmpty()
                        && entry.getValue().inFlight() == 0);
    }
}
