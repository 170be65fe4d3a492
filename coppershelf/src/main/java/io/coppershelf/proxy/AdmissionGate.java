package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.dispatch.ReachableChooser;
import io.coppershelf.dispatch.ServerChooser;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import io.coppershelf.overload.AdmissionDecision;
import io.coppershelf.overload.AdmissionRequest;
import io.coppershelf.overload.CountedLoad;
import io.coppershelf.overload.RankOrder;
import io.coppershelf.overload.ServiceAdmission;
import io.coppershelf.overload.ServiceRanks;
import io.coppershelf.overload.ShortageChoice;
import io.coppershelf.overload.ShortageCounts;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Decides on the requests of services that are short of capacity, where the deployment or the configuration asks for
 * it; other services are served as if there were no such control. Confined to the traffic thread.
 */
final class AdmissionGate {
    /** Time for which equal requests of a caller have the same place; longer than callers wait for an answer. */
    private static final long PLACE_MILLIS = 5000;

    private final boolean isEnabled;
    private final ControlState state;
    private final ServerChooser chooser;
    private final ReachableChooser reachable;
    private final ShortageChoice choice;
    private final AdmissionMetrics metrics;
    private final EventLog log;
    private final Random random;
    private final Map<String, ServiceAdmission> byService = new HashMap<>();
    private Optional<FleetConfiguration> configuration = Optional.empty();
    private Map<String, RankOrder> ranks = Map.of();

    /**
     * Creates a gate that knows no load yet.
     *
     * @param isEnabled whether services are controlled at all
     */
    AdmissionGate(
            boolean isEnabled,
            ControlState state,
            ServerChooser chooser,
            ReachableChooser reachable,
            AdmissionMetrics metrics,
            EventLog log,
            Random random) {
        this.isEnabled = isEnabled;
        this.state = state;
        this.chooser = chooser;
        this.reachable = reachable;
        choice = new ShortageChoice(chooser, reachable);
        this.metrics = metrics;
        this.log = log;
        this.random = random;
    }

    /** Returns the refusal of a request that has arrived, empty if it is to be sent now. */
    Optional<AdmissionDecision.Refuse> refusal(
            ResolvedRequest resolved, String service, CallerRequest request, long deadlineNanos, long nowNanos) {
        Optional<ServiceAdmission> admission = of(service);
        if (admission.isEmpty()) {
            return Optional.empty();
        }
        if (admission.get().isUpdateDue(nowNanos)) {
            List<BackendServer> servers = state.catalog().servers().accepting(service);
            admission.get().update(CountedLoad.of(servers, chooser, nowNanos), nowNanos);
        }
        AdmissionRequest asked = new AdmissionRequest(
                resolved.rank(),
                resolved.route().name(),
                place(request, System.currentTimeMillis()),
                request.body().length,
                deadlineNanos - nowNanos);
        AdmissionDecision decision = admission.get().decide(asked, nowNanos);
        return decision instanceof AdmissionDecision.Refuse refuse ? Optional.of(refuse) : Optional.empty();
    }

    /**
     * Returns a hash of what the caller sends. It changes every few seconds, at all VMs about together, so that no
     * caller is refused for long for requests that are all alike.
     */
    private static long place(CallerRequest request, long nowMillis) {
        long hash = request.caller().hashCode();
        hash = 31 * hash + request.uri().hashCode();
        hash = 31 * hash + request.body().length;
        return 31 * hash + nowMillis / PLACE_MILLIS;
    }

    /** Returns the server for an attempt. */
    Optional<BackendServer> choose(
            String service,
            RequestKind kind,
            boolean isRetry,
            boolean isLastAttempt,
            Set<String> excluded,
            long nowNanos) {
        List<BackendServer> servers = state.catalog().servers().accepting(service);
        Optional<ServiceAdmission> admission = of(service).filter(ServiceAdmission::isUnderPressure);
        if (admission.isEmpty()) {
            return reachable.choose(servers, kind, isLastAttempt, excluded, nowNanos);
        }
        return choice.choose(admission.get(), servers, kind, isRetry, isLastAttempt, excluded, nowNanos);
    }

    /**
     * Records the load that a server states in an answer.
     *
     * @param isFailure whether the answer is a failure or a refusal; an unhealthy server that fails fast has free slots
     *     and must not attract requests by them
     */
    void recordLoad(BackendServer server, int load, boolean isFailure, long nowNanos) {
        of(server.service())
                .ifPresent(admission -> admission.recordLoad(
                        server, load, CountedLoad.of(server, chooser, nowNanos), isFailure, nowNanos));
    }

    /** Records the time from the sending of a request to its answer. */
    void recordAnswer(String service, String route, long nanos) {
        of(service).ifPresent(admission -> admission.recordAnswer(route, nanos));
    }

    /** Logs what was decided since the last call; called once a second. */
    void report() {
        byService.forEach((service, admission) -> {
            ShortageCounts.Summary summary = admission.pollCounts(System.nanoTime());
            metrics.record(service, admission.ranks(), summary, admission.isUnderPressure());
            if (summary.offered() > 0) {
                log.important(
                        "capacity-short",
                        Fields.of(
                                "service", service,
                                "offered", summary.offered(),
                                "admitted", summary.totalAdmitted(),
                                "refusedByPriority", byRank(admission.ranks(), summary.refused()),
                                "threshold", summary.threshold(),
                                "fill", summary.fill(),
                                "waitMs", summary.expectedWait().toMillis(),
                                "inputs", summary.ages().toString()));
            }
        });
    }

    private static String byRank(RankOrder ranks, List<Integer> counts) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < counts.size(); i++) {
            text.append(i == 0 ? "" : " ")
                    .append(ranks.sorted().get(i))
                    .append(':')
                    .append(counts.get(i));
        }
        return text.toString();
    }

    private Optional<ServiceAdmission> of(String service) {
        useConfiguration(state.catalog().configuration());
        RankOrder order = ranks.get(service);
        if (order == null || !isEnabled) {
            return Optional.empty();
        }
        return Optional.of(byService.computeIfAbsent(service, name -> new ServiceAdmission(order, random)));
    }

    private void useConfiguration(Optional<FleetConfiguration> inForce) {
        boolean isSame = inForce.isPresent() == configuration.isPresent()
                && inForce.map(FleetConfiguration::version).equals(configuration.map(FleetConfiguration::version));
        if (isSame) {
            return;
        }
        configuration = inForce;
        ranks = inForce.map(ServiceRanks::of).orElse(Map.of());
        byService.entrySet().removeIf(entry -> !entry.getValue().ranks().equals(ranks.get(entry.getKey())));
    }
}
