package io.coppershelf.overload;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.dispatch.ServerChooser;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The requests at servers of one data centre that accept requests of this VM, as the VMs report them.
 *
 * @param isComplete whether this VM receives the counts of all VMs for these servers; else it receives summaries
 * @param load the requests, running and queued
 * @param slots the slots of the servers
 * @param age the time since the last report, on average over the servers; empty if there was none
 */
public record CountedLoad(boolean isComplete, int load, int slots, Optional<Duration> age) {
    /** Returns the loads of a service, one for each data centre. */
    public static List<CountedLoad> of(List<BackendServer> servers, ServerChooser chooser, long nowNanos) {
        Map<String, List<BackendServer>> byDataCentre = new HashMap<>();
        for (BackendServer server : servers) {
            if (chooser.isAvailable(server, nowNanos)) {
                byDataCentre
                        .computeIfAbsent(server.dataCentre(), name -> new ArrayList<>())
                        .add(server);
            }
        }
        List<CountedLoad> loads = new ArrayList<>();
        byDataCentre.forEach((name, own) -> loads.add(of(chooser.isCounted(name), own, chooser, nowNanos)));
        return loads;
    }

    /** Returns the load of one server. */
    public static CountedLoad of(BackendServer server, ServerChooser chooser, long nowNanos) {
        return of(chooser.isCounted(server.dataCentre()), List.of(server), chooser, nowNanos);
    }

    private static CountedLoad of(
            boolean isComplete, List<BackendServer> servers, ServerChooser chooser, long nowNanos) {
        int load = 0;
        int slots = 0;
        int known = 0;
        long ageNanos = 0;
        for (BackendServer server : servers) {
            load += chooser.countedLoad(server);
            slots += server.slots();
            Optional<Duration> age = chooser.countAge(server, nowNanos);
            if (age.isPresent()) {
                known++;
                ageNanos += age.get().toNanos();
            }
        }
        Optional<Duration> age = known == 0 ? Optional.empty() : Optional.of(Duration.ofNanos(ageNanos / known));
        return new CountedLoad(isComplete, load, slots, age);
    }
}
