package io.coppershelf.admission;

import io.coppershelf.health.ServerCondition;
import java.util.List;

/**
 * The figures of a server group.
 *
 * @param freeSlots the slots that can accept an attempt now
 * @param queued the queued requests
 * @param expectedWaitNanos the expected wait of a new request of the lowest weight
 * @param servers the servers
 */
public record GroupStatus(int freeSlots, int queued, long expectedWaitNanos, List<ServerStatus> servers) {
    /**
     * The figures of one server.
     *
     * @param server its name
     * @param condition its condition
     * @param reason why it is in that condition, empty if in service
     * @param inFlight the attempts that it runs
     * @param slots its slots
     */
    public record ServerStatus(String server, ServerCondition condition, String reason, int inFlight, int slots) {}
}
