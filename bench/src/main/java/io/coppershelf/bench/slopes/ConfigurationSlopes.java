package io.coppershelf.bench.slopes;

import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ConfigurationStore;
import io.coppershelf.ticket.ObjectSpec;
import io.coppershelf.ticket.ObjectState;
import io.coppershelf.ticket.Ticket;
import java.util.List;
import java.util.function.IntFunction;

/** Costs of the configuration: memory per object, and processor time per ticket and per route look-up. */
final class ConfigurationSlopes {
    private static final int MEASURED_TICKETS = 200;
    private static final int MEASURED_LOOK_UPS = 200_000;
    private static final int SERVICES = 3200;

    private ConfigurationSlopes() {}

    static List<CostSeries> all() {
        return List.of(
                memory("service", SampleObjects::service, 400, 800, 1600, 3200),
                memory("server", SampleObjects::server, 35_000, 52_500, 70_000, 105_000, 140_000),
                memory("route", SampleObjects::route, 9_750, 19_500, 29_250, 39_000),
                new CostSeries(
                        "processor time of a one-object ticket, by servers configured",
                        "us",
                        new int[] {35_000, 52_500, 70_000, 105_000, 140_000},
                        ConfigurationSlopes::ticketMicros),
                new CostSeries(
                        "processor time of a route look-up, by routes configured",
                        "us",
                        new int[] {9_750, 19_500, 29_250, 39_000},
                        ConfigurationSlopes::lookUpMicros));
    }

    private static CostSeries memory(String object, IntFunction<ObjectSpec> specs, int... sizes) {
        return new CostSeries(
                "configuration memory per " + object,
                "bytes",
                sizes,
                size -> HeapMeter.retainedBytes(() -> storeOf(size, specs)));
    }

    private static ConfigurationStore storeOf(int size, IntFunction<ObjectSpec> specs) {
        ConfigurationStore store = new ConfigurationStore();
        SampleObjects.tickets(size, specs).forEach(store::apply);
        return store;
    }

    private static double ticketMicros(int size) {
        ConfigurationStore store = storeOf(size, SampleObjects::server);
        return CpuMeter.microsPerRun(MEASURED_TICKETS, run -> {
            store.apply(
                    new Ticket(1_000_000 + run, List.of(ObjectState.present(SampleObjects.server((int) run % size)))));
            store.snapshot();
        });
    }

    private static double lookUpMicros(int size) {
        ConfigurationStore store = storeOf(size, SampleObjects::route);
        SampleObjects.tickets(SERVICES, SampleObjects::service).forEach(store::apply);
        Configuration configuration = store.snapshot();
        return CpuMeter.microsPerRun(MEASURED_LOOK_UPS, run -> {
            int index = (int) (run * 7919 % size);
            var route = SampleObjects.route(index);
            if (configuration.route(route.method(), route.path()).isEmpty()) {
                throw new IllegalStateException("expected a route for " + route.path());
            }
        });
    }
}
