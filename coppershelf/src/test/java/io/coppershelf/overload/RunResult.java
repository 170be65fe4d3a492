package io.coppershelf.overload;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

/** The figures of one run. */
final class RunResult {
    /** Smallest number of requests whose share is compared; the shares of fewer scatter by more than the bounds. */
    private static final int MIN_REQUESTS = 100;

    private static final long WINDOW = 2 * OverloadScenario.SECOND;

    private final OverloadScenario scenario;
    private final List<SimulatedRequest> requests;
    private final OverloadSimulation simulation;

    private RunResult(OverloadScenario scenario, List<SimulatedRequest> requests, OverloadSimulation simulation) {
        this.scenario = scenario;
        this.requests = requests;
        this.simulation = simulation;
    }

    static RunResult of(OverloadScenario scenario, long seed) {
        return of(scenario, true, seed);
    }

    static RunResult of(OverloadScenario scenario, boolean isControlled, long seed) {
        OverloadSimulation simulation = new OverloadSimulation(scenario, isControlled, seed);
        return new RunResult(scenario, simulation.play(), simulation);
    }

    /**
     * Returns the smallest share of the servers of a service that get a request in a window of two seconds that starts
     * at a time or later.
     */
    double smallestUsedShare(long fromNanos) {
        double smallest = 1;
        for (OverloadScenario.Service service : scenario.services()) {
            Map<String, List<Long>> arrivals = simulation.arrivals(service.name());
            for (long from = fromNanos; from < OverloadScenario.END - WINDOW; from += WINDOW / 20) {
                long start = from;
                long used = arrivals.values().stream()
                        .filter(times -> times.stream().anyMatch(at -> at >= start && at < start + WINDOW))
                        .count();
                smallest = Math.min(smallest, (double) used / service.servers());
            }
        }
        return smallest;
    }

    /** Returns the number of requests that were refused while their service had fewer requests than slots. */
    long refusedWithRoom() {
        return requests.stream().filter(request -> request.isRefusedWithRoom).count();
    }

    /** Returns the share of the requests of a rank that were served. */
    double served(int rank) {
        return share(
                requests.stream().filter(request -> request.kind.rank() == rank).toList(), request -> request.isServed);
    }

    /** Returns the number of requests that were served. */
    long served() {
        return requests.stream().filter(request -> request.isServed).count();
    }

    /** Returns the credit of all services in time, as a share of the planner's. */
    double creditShare() {
        double planned = 0;
        for (OverloadScenario.Service service : scenario.services()) {
            planned += AllKnowingPlanner.credit(scenario, service, of(service));
        }
        return requests.stream().mapToDouble(SimulatedRequest::credit).sum() / planned;
    }

    /** Returns the largest difference by which a kind is served less often than a less urgent one of its service. */
    double worstInversion() {
        double worst = 0;
        for (OverloadScenario.Service service : scenario.services()) {
            Map<Integer, Double> shares = shares(of(service), request -> request.kind.rank());
            for (Map.Entry<Integer, Double> urgent : shares.entrySet()) {
                for (Map.Entry<Integer, Double> other : shares.entrySet()) {
                    if (urgent.getKey() < other.getKey()) {
                        worst = Math.max(worst, other.getValue() - urgent.getValue());
                    }
                }
            }
        }
        return worst;
    }

    /** Returns the smallest share of a kind or a tenant in what is served, as a part of the service's common share. */
    double smallestPartOfCommonShare() {
        double smallest = 1;
        for (OverloadScenario.Service service : scenario.services()) {
            List<SimulatedRequest> own = of(service);
            double common = share(own, request -> request.isServed);
            List<Double> shares =
                    new ArrayList<>(shares(own, request -> request.kind.name()).values());
            shares.addAll(shares(own, request -> request.tenant).values());
            for (double share : shares) {
                smallest = Math.min(smallest, share / common);
            }
        }
        return smallest;
    }

    /** Returns the 99th percentile of the times until a refusal, in milliseconds. */
    double refusalMillis() {
        return percentile99(requests.stream()
                .filter(request -> request.refusalNanos >= 0)
                .mapToDouble(request -> request.refusalNanos / 1e6)
                .toArray());
    }

    /** Returns the 99th percentile of the times for which a VM held a request, in milliseconds. */
    double heldMillis() {
        return percentile99(requests.stream()
                .mapToDouble(request -> request.heldNanos / 1e6)
                .toArray());
    }

    /** Returns the number of requests that were refused to the end, and arrived from a time on. */
    long refused(long fromNanos) {
        return requests.stream()
                .filter(request -> request.arrivedNanos >= fromNanos && request.refusalNanos >= 0)
                .count();
    }

    /** Returns the share of the requests that arrived from a time on and are served in time. */
    double inTime(long fromNanos) {
        return share(
                requests.stream()
                        .filter(request -> request.arrivedNanos >= fromNanos)
                        .toList(),
                SimulatedRequest::isInTime);
    }

    /**
     * Returns the largest difference between the weight of a service among the requests of a kind, admitted and
     * offered.
     */
    double worstWeightError() {
        double worst = 0;
        for (OverloadScenario.Kind kind : scenario.kinds()) {
            for (String service : kind.weights().keySet()) {
                Predicate<SimulatedRequest> isOfService = request -> request.service.equals(service);
                List<SimulatedRequest> offered = requests.stream()
                        .filter(request -> request.kind.equals(kind))
                        .toList();
                List<SimulatedRequest> served =
                        offered.stream().filter(request -> request.isServed).toList();
                worst = Math.max(worst, Math.abs(share(offered, isOfService) - share(served, isOfService)));
            }
        }
        return worst;
    }

    private List<SimulatedRequest> of(OverloadScenario.Service service) {
        return requests.stream()
                .filter(request -> request.service.equals(service.name()))
                .toList();
    }

    private static <K> Map<K, Double> shares(List<SimulatedRequest> requests, Function<SimulatedRequest, K> key) {
        Map<K, List<SimulatedRequest>> groups = new HashMap<>();
        requests.forEach(request -> groups.computeIfAbsent(key.apply(request), any -> new ArrayList<>())
                .add(request));
        Map<K, Double> shares = new HashMap<>();
        groups.forEach((group, members) -> {
            if (members.size() >= MIN_REQUESTS) {
                shares.put(group, share(members, request -> request.isServed));
            }
        });
        return shares;
    }

    private static double share(List<SimulatedRequest> requests, Predicate<SimulatedRequest> predicate) {
        return (double) requests.stream().filter(predicate).count() / Math.max(1, requests.size());
    }

    private static double percentile99(double[] values) {
        Arrays.sort(values);
        return values.length == 0 ? 0 : values[(int) (values.length * 0.99)];
    }

    @Override
    public String toString() {
        return String.format(
                "credit %.3f inversion %.3f common %.3f refusal %.1f ms weights %.3f refused %d of %d, with room %d",
                creditShare(),
                worstInversion(),
                smallestPartOfCommonShare(),
                refusalMillis(),
                worstWeightError(),
                refused(0),
                requests.size(),
                refusedWithRoom());
    }
}
