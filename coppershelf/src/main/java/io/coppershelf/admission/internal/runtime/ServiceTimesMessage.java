package io.coppershelf.admission.internal.runtime;

import io.coppershelf.peer.PeerMessage;
import java.util.Map;

/**
 * The typical service times that the owner of one group of a service measured, for the owners of its other groups.
 *
 * @param service the service
 * @param typicalNanos the typical service time in nanoseconds by route
 */
record ServiceTimesMessage(String service, Map<String, Long> typicalNanos) implements PeerMessage {
    ServiceTimesMessage {
        typicalNanos = Map.copyOf(typicalNanos);
    }
}
