package io.coppershelf.admission;

import java.util.List;

/**
 * The decisions for one server group as a state machine that maps an event and the time to actions. Not thread-safe.
 */
public interface ServerGroupDecisions {
    /**
     * Handles one event.
     *
     * @param event what happened
     * @param nowNanos the monotonic time
     * @return the actions to perform, in order
     */
    List<GroupAction> on(GroupEvent event, long nowNanos);

    /** Returns the current figures of the group, for load balancing by entry VMs and for operators. */
    GroupStatus status(long nowNanos);
}
