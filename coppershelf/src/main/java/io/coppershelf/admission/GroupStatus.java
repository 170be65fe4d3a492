package io.coppershelf.admission;

import io.coppershelf.health.ServerCondition;
import java.util.List;

/**
 * The figures of a server group.
 *
 * @param freeSlots the slots that could take work now
 * @param queued the requests that wait
 * @param expectedWaitNanos the expected wait of a new request of the least weight
 * @param servers the servers
 */
public record GroupStatus(int freeSlots, int queued, long expectedWaitNanos, List<ServerStatus> servers) {
    /**
     * The figures of one server.
     *
     * @param server its name
     * @param condition its condition
     * @param reason why it is in that condition, empty if in service
     * @param inFlight the requests that it runs
     * @param slots its slots
     */
    public record ServerStatus(String server, ServerCondition condition, String reason, int inFlight, int slots) {}
}
