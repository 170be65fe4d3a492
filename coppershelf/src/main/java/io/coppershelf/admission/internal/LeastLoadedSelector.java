package io.coppershelf.admission.internal;

import io.coppershelf.health.GroupHealth;
import io.coppershelf.health.ServerCondition;
import io.coppershelf.ticket.ServerSpec;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/** Selects the server with the smallest share of its slots in use, among those that can accept an attempt now. */
public final class LeastLoadedSelector {
    private final SlotTable slots;
    private final GroupHealth health;
    private final ShedBackoff backoff;
    private final RandomGenerator random;

    /** Creates a selector with the given slots, health and pauses. */
    public LeastLoadedSelector(SlotTable slots, GroupHealth health, ShedBackoff backoff, RandomGenerator random) {
        this.slots = slots;
        this.health = health;
        this.backoff = backoff;
        this.random = random;
    }

    /** Returns the least loaded server that is not suspected. */
    public Optional<String> selectUnsuspected(Collection<ServerSpec> servers, long nowNanos) {
        return leastLoaded(servers, server -> !isSuspected(server), nowNanos);
    }

    /** Returns the least loaded server that is suspected. */
    public Optional<String> selectSuspected(Collection<ServerSpec> servers, long nowNanos) {
        return leastLoaded(servers, this::isSuspected, nowNanos);
    }

    private boolean isSuspected(ServerSpec server) {
        return health.condition(server.name()) == ServerCondition.SUSPECTED;
    }

    private Optional<String> leastLoaded(
            Collection<ServerSpec> servers, Predicate<ServerSpec> eligible, long nowNanos) {
        double best = 1.0;
        int ties = 0;
        Optional<String> selected = Optional.empty();
        for (ServerSpec server : servers) {
            double load = load(server, nowNanos);
            if (load >= 1.0 || load > best || !eligible.test(server)) {
                continue;
            }
            ties = load < best ? 1 : ties + 1;
            if (ties == 1 || random.nextInt(ties) == 0) {
                selected = Optional.of(server.name());
            }
            best = load;
        }
        return selected;
    }

    private double load(ServerSpec server, long nowNanos) {
        int allowed = health.allowedSlots(server, nowNanos);
        if (allowed == 0 || backoff.isPaused(server.name(), nowNanos)) {
            return 1.0;
        }
        return (double) slots.inFlight(server.name()) / allowed;
    }

    /** Returns whether any server that may receive attempts is not suspected. */
    public boolean hasUnsuspected(Collection<ServerSpec> servers, long nowNanos) {
        return servers.stream().anyMatch(server -> !isSuspected(server) && health.allowedSlots(server, nowNanos) > 0);
    }

    /**
     * Returns the estimate for the slots of the servers in service, or of the suspected ones if there is none in
     * service.
     */
    public WaitEstimate estimate(Collection<ServerSpec> servers, MeanServiceTimes serviceTimes, long nowNanos) {
        WaitEstimate unsuspected = estimate(servers, server -> !isSuspected(server), serviceTimes, nowNanos);
        return unsuspected.slots() > 0 ? unsuspected : estimate(servers, this::isSuspected, serviceTimes, nowNanos);
    }

    /**
     * Returns the estimate for the slots of all servers that can serve the queue: those in service and the suspected
     * ones.
     */
    public WaitEstimate estimateWithSuspected(
            Collection<ServerSpec> servers, MeanServiceTimes serviceTimes, long nowNanos) {
        return estimate(servers, server -> true, serviceTimes, nowNanos);
    }

    private WaitEstimate estimate(
            Collection<ServerSpec> servers,
            Predicate<ServerSpec> eligible,
            MeanServiceTimes serviceTimes,
            long nowNanos) {
        int total = 0;
        int free = 0;
        long residual = 0;
        for (ServerSpec server : servers) {
            int allowed = eligible.test(server) ? health.allowedSlots(server, nowNanos) : 0;
            if (allowed == 0) {
                continue;
            }
            total += allowed;
            free += backoff.isPaused(server.name(), nowNanos)
                    ? 0
                    : Math.max(0, allowed - slots.inFlight(server.name()));
            for (RunningAttempt running : slots.running(server.name())) {
                residual += serviceTimes.residualNanos(
                        running.arrival().route(), health.observedNanos() - running.dispatchedNanos());
            }
        }
        return new WaitEstimate(total, free, residual);
    }
}
