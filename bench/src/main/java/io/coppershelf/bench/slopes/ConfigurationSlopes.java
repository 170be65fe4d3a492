package io.coppershelf.bench.slopes;

import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ConfigurationStore;
import io.coppershelf.ticket.ObjectSpec;
import io.coppershelf.ticket.ObjectState;
import io.coppershelf.ticket.Ticket;
import java.util.List;
import java.util.function.IntFunction;

/** What the configuration costs: memory per object, processor time per ticket, and per route look-up. */
final class ConfigurationSlopes {
    private static final int TICKETS = 200;
    private static final int LOOK_UPS = 200_000;
    private static final int SERVICES = 3200;

    private ConfigurationSlopes() {}

    static List<Slope> all() {
        return List.of(
                memory("service", SampleObjects::service, 400, 800, 1600, 3200),
                memory("server", SampleObjects::server, 35_000, 52_500, 70_000, 105_000, 140_000),
                memory("route", SampleObjects::route, 9_750, 19_500, 29_250, 39_000),
                new Slope(
                        "processor time of a one-object ticket, by servers configured",
                        "us",
                        new int[] {35_000, 52_500, 70_000, 105_000, 140_000},
                        ConfigurationSlopes::ticketMicros),
                new Slope(
                        "processor time of a route look-up, by routes configured",
                        "us",
                        new int[] {9_750, 19_500, 29_250, 39_000},
                        ConfigurationSlopes::lookUpMicros));
    }

    private static Slope memory(String object, IntFunction<ObjectSpec> specs, int... sizes) {
        return new Slope(
                "configuration memory per " + object,
                "bytes",
                sizes,
                size -> HeapMeter.retainedBytes(() -> filled(size, specs)));
    }

    private static ConfigurationStore filled(int size, IntFunction<ObjectSpec> specs) {
        ConfigurationStore store = new ConfigurationStore();
        SampleObjects.tickets(size, specs).forEach(store::apply);
        return store;
    }

    private static double ticketMicros(int size) {
        ConfigurationStore store = filled(size, SampleObjects::server);
        return CpuMeter.microsPerRun(TICKETS, run -> {
            store.apply(
                    new Ticket(1_000_000 + run, List.of(ObjectState.present(SampleObjects.server((int) run % size)))));
            store.snapshot();
        });
    }

    private static double lookUpMicros(int size) {
        ConfigurationStore store = filled(size, SampleObjects::route);
        SampleObjects.tickets(SERVICES, SampleObjects::service).forEach(store::apply);
        Configuration configuration = store.snapshot();
        return CpuMeter.microsPerRun(LOOK_UPS, run -> {
            int index = (int) (run * 7919 % size);
            var route = SampleObjects.route(index);
            if (configuration.route(route.method(), route.path()).isEmpty()) {
                throw new IllegalStateException("expected a route for " + route.path());
            }
        });
    }
}
