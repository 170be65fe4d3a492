package io.coppershelf.floor;

import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ServiceSpec;
import java.util.List;

/**
 * Iterates over the services in small batches after each change of the fleet or the configuration, so that a daemon
 * finds the services of which it should be the granter without ranking the VMs for all of them in one tick.
 */
final class CandidacyScan {
    private static final int MAX_RANKED_VMS_PER_TICK = 10_000;

    private int position;

    /** Restarts at the first service. */
    void restart() {
        position = 0;
    }

    /** Returns the names of the next batch of services, an empty list at the end. */
    List<String> nextServices(Configuration configuration, int vms) {
        List<ServiceSpec> services = configuration.services();
        if (position >= services.size()) {
            return List.of();
        }
        int count = Math.max(1, MAX_RANKED_VMS_PER_TICK / Math.max(1, vms));
        int end = Math.min(services.size(), position + count);
        List<String> names =
                services.subList(position, end).stream().map(ServiceSpec::name).toList();
        position = end;
        return names;
    }
}
