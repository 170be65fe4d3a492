package io.coppershelf.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** The services, the requests and the faults of one run. */
record OverloadScenario(
        List<Service> services,
        List<Kind> kinds,
        double load,
        List<Burst> bursts,
        Fleet fleet,
        Outage outage,
        Fault fault,
        Returns returns) {
    static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    static final long END = 16 * SECOND;
    static final int TENANTS = 20;
    private static final double[] CREDIT_BY_RANK = {4, 2, 1};

    static final int DATA_CENTRES = 4;

    /** When refused callers return, as long as an answer still counts. */
    enum Returns {
        NEVER,
        AT_ONCE,
        AS_TOLD
    }

    /** A service of equal servers. */
    record Service(String name, int servers, int slots) {}

    /** Requests of one route; the weights are those of its services. */
    record Kind(String name, int rank, double perSecond, double meanMillis, Map<String, Double> weights) {
        /** Returns the time within which an answer counts: three times the typical one. */
        long objectiveNanos() {
            return (long) (3 * meanMillis * 1e6);
        }
    }

    /** More requests of a kind, or of the tenant 0 if the kind is empty, from 4 s to 7 s. */
    record Burst(String kind, double factor) {}

    /** Servers of each service that are lost from 5 s to 9 s, as a share. */
    record Outage(double share) {
        static final long FROM = 5 * SECOND;
        static final long TO = 9 * SECOND;
    }

    /**
     * The VMs.
     *
     * @param deafShare the share of the VMs that receive no messages
     * @param nearShare the share of the requests that arrive in the first data centre beyond its part
     */
    record Fleet(int vms, double deafShare, double nearShare) {}

    /**
     * A fault of the servers, as shares of the servers and of their requests.
     *
     * @param refusedUnread the share of the requests that servers refuse unread, with free slots
     * @param failing the share of the servers that answer all requests with a failure from 0.5 s to 1 s
     */
    record Fault(double refusedUnread, double failing) {
        static final long FROM = SECOND / 2;
        static final long TO = SECOND;
    }

    static OverloadScenario first(double load) {
        List<Service> services = List.of(new Service("a", 38, 4), new Service("b", 74, 4), new Service("c", 11, 4));
        return of(services, load, new Kind("a", 0, 119, 395, Map.of("a", 1.0)), 300, 319, 37, 373);
    }

    static OverloadScenario second(double load) {
        List<Service> services = List.of(new Service("a", 68, 2), new Service("b", 95, 2), new Service("c", 15, 2));
        return of(services, load, new Kind("a", 2, 131, 182, Map.of("a", 1.0)), 237, 139, 46, 95);
    }

    private static OverloadScenario of(
            List<Service> services, double load, Kind a, double rateB, double meanB, double rateC, double meanC) {
        Kind b = new Kind("b", 1, rateB, meanB, Map.of("b", 1.0));
        Kind c = new Kind("c", 2, rateC, meanC, Map.of("c", 0.8, "a", 0.1, "b", 0.1));
        return new OverloadScenario(
                services,
                List.of(a, b, c),
                load,
                List.of(),
                new Fleet(93, 0, 0),
                new Outage(0),
                new Fault(0, 0),
                Returns.NEVER);
    }

    OverloadScenario withVms(int vms) {
        return with(new Fleet(vms, fleet.deafShare, fleet.nearShare));
    }

    OverloadScenario withDeafVms(double share) {
        return with(new Fleet(fleet.vms, share, fleet.nearShare));
    }

    OverloadScenario withNearRequests(double share) {
        return with(new Fleet(fleet.vms, fleet.deafShare, share));
    }

    private OverloadScenario with(Fleet newFleet) {
        return new OverloadScenario(services, kinds, load, bursts, newFleet, outage, fault, returns);
    }

    OverloadScenario withBurst(String kind, double factor) {
        List<Burst> newBursts = List.of(new Burst(kind, factor));
        return new OverloadScenario(services, kinds, load, newBursts, fleet, outage, fault, returns);
    }

    OverloadScenario withOutage(double share) {
        return new OverloadScenario(services, kinds, load, bursts, fleet, new Outage(share), fault, returns);
    }

    OverloadScenario withFault(double refusedUnread, double failing) {
        Fault newFault = new Fault(refusedUnread, failing);
        return new OverloadScenario(services, kinds, load, bursts, fleet, outage, newFault, returns);
    }

    OverloadScenario withReturns(Returns newReturns) {
        return new OverloadScenario(services, kinds, load, bursts, fleet, outage, fault, newReturns);
    }

    /** Returns the requests in the order of their arrival. */
    List<SimulatedRequest> requests(Random random) {
        List<SimulatedRequest> requests = new ArrayList<>();
        for (Kind kind : kinds) {
            double rate = kind.perSecond() * scale(kind);
            double most =
                    rate * bursts.stream().mapToDouble(Burst::factor).max().orElse(1);
            double at = 0;
            while (true) {
                at += -Math.log(1 - random.nextDouble()) / most * SECOND;
                if (at >= END) {
                    break;
                }
                boolean isBurst = at >= 4 * SECOND && at < 7 * SECOND;
                int tenant = random.nextInt(TENANTS);
                double factor = 1;
                for (Burst burst : bursts) {
                    boolean isOfTenant = burst.kind().isEmpty() && tenant == 0;
                    factor = isBurst && (isOfTenant || burst.kind().equals(kind.name())) ? burst.factor() : factor;
                }
                if (random.nextDouble() * most < rate * factor) {
                    double work = kind.meanMillis() * 1e6 * (0.7 + 0.6 * random.nextDouble());
                    requests.add(new SimulatedRequest(kind, tenant, service(kind, random), (long) at, (long) work));
                }
            }
        }
        requests.sort((x, y) -> Long.compare(x.arrivedNanos, y.arrivedNanos));
        return requests;
    }

    /** Returns the factor that gives the kind's main service the load, as a share of its slots. */
    private double scale(Kind kind) {
        Service main = services.stream()
                .filter(service -> service.name().equals(kind.name()))
                .findFirst()
                .orElseThrow();
        double work = 0;
        for (Kind any : kinds) {
            work += any.perSecond() * any.meanMillis() / 1000 * any.weights().getOrDefault(main.name(), 0.0);
        }
        return load * main.servers() * main.slots() / work;
    }

    private static String service(Kind kind, Random random) {
        double left = random.nextDouble();
        for (Map.Entry<String, Double> weight : new java.util.TreeMap<>(kind.weights()).entrySet()) {
            left -= weight.getValue();
            if (left < 0) {
                return weight.getKey();
            }
        }
        return kind.name();
    }

    static double credit(Kind kind) {
        return CREDIT_BY_RANK[kind.rank()];
    }

    /** Returns the share of a service's slots that are lost at a time. */
    double lostShare(long nanos) {
        return nanos >= Outage.FROM && nanos < Outage.TO ? outage.share() : 0;
    }
}
