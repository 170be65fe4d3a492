package io.coppershelf.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Discovers the daemons of a fleet from some of them. */
public final class FleetDiscovery {
    private FleetDiscovery() {}

    /**
     * Returns the given daemons and the live daemons that one of them reports: the first one, in the given order, that
     * answers.
     */
    public static List<DaemonAddress> expand(List<DaemonAddress> daemons, OperatorClient client) {
        Set<DaemonAddress> all = new LinkedHashSet<>(daemons);
        daemons.stream()
                .map(daemon -> client.fetch(daemon, "/fleet"))
                .flatMap(Optional::stream)
                .findFirst()
                .ifPresent(status -> all.addAll(members(status)));
        return List.copyOf(all);
    }

    private static Collection<DaemonAddress> members(JsonNode status) {
        Set<DaemonAddress> members = new LinkedHashSet<>();
        status.path("fleet")
                .forEach(vm -> members.add(DaemonAddress.parse(vm.path("at").asText())));
        return members;
    }
}
