package io.coppershelf.bench.decisions;

import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A simulated service of a customer.
 *
 * @param customer the customer
 * @param name the name of the service
 * @param servers the number of its servers, spread evenly over the data centres
 * @param slots the number of slots of each server
 * @param floor the minimum number of servers in service
 * @param kinds the request kinds
 */
record ServiceProfile(Customer customer, String name, int servers, int slots, int floor, List<KindProfile> kinds) {
    /** Returns the configuration of the service. */
    ServiceSpec spec() {
        return new ServiceSpec(name, floor, customer.detectionWeight());
    }

    /** Returns the configurations of the servers. */
    List<ServerSpec> serverSpecs() {
        List<ServerSpec> specs = new ArrayList<>();
        for (int index = 0; index < servers; index++) {
            String dataCentre =
                    customer.dataCentres().get(index % customer.dataCentres().size());
            specs.add(new ServerSpec(name + "-" + (index + 1), name, dataCentre, "127.0.0.1", 1, slots, 330, false));
        }
        return specs;
    }

    /** Returns the mean service time over all kinds in nanoseconds. */
    double meanNanos() {
        return kinds.stream()
                .mapToDouble(kind -> kind.share() * kind.meanNanos())
                .sum();
    }

    /** Returns the capacity of the slots of all servers in requests per second. */
    double capacityPerSecond() {
        return (double) servers * slots * Units.SECONDS / meanNanos();
    }

    /** Returns a random request kind, with probabilities by the shares. */
    KindProfile drawKind(RandomGenerator random) {
        double remaining = random.nextDouble();
        for (KindProfile kind : kinds) {
            remaining -= kind.share();
            if (remaining < 0) {
                return kind;
            }
        }
        return kinds.get(kinds.size() - 1);
    }
}
