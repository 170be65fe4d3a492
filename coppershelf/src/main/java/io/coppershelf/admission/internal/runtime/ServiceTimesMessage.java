package io.coppershelf.admission.internal.runtime;

import io.coppershelf.peer.PeerMessage;
import java.util.Map;

/**
 * The usual service times that the owner of one group of a service sees, for the owners of its other groups.
 *
 * @param service the service
 * @param usualNanos the usual service time in nanoseconds by route
 */
record ServiceTimesMessage(String service, Map<String, Long> usualNanos) implements PeerMessage {
    ServiceTimesMessage {
        usualNanos = Map.copyOf(usualNanos);
    }
}
