package io.coppershelf.floor;

import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ServiceSpec;
import java.util.List;

/**
 * Goes through the services a few at a time after each change of the fleet or the configuration, so that a daemon finds
 * out of which services it should be the granter without ranking all of them at once.
 */
final class CandidacyScan {
    private static final int RANKED_VMS_PER_TICK = 10_000;

    private int position;

    /** Begins again. */
    void restart() {
        position = 0;
    }

    /** Returns the next services to look at. */
    List<String> nextServices(Configuration configuration, int vms) {
        List<ServiceSpec> services = configuration.services();
        if (position >= services.size()) {
            return List.of();
        }
        int count = Math.max(1, RANKED_VMS_PER_TICK / Math.max(1, vms));
        int end = Math.min(services.size(), position + count);
        List<String> names =
                services.subList(position, end).stream().map(ServiceSpec::name).toList();
        position = end;
        return names;
    }
}
