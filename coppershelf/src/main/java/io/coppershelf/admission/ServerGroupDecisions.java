package io.coppershelf.admission;

import java.util.List;

/**
 * The decisions for one server group as a state machine: an event and the time in, actions out. Not safe for use by
 * several threads.
 */
public interface ServerGroupDecisions {
    /**
     * Takes in one event.
     *
     * @param event what happened
     * @param nowNanos the monotonic time
     * @return what is to be done, in order
     */
    List<GroupAction> on(GroupEvent event, long nowNanos);

    /** Returns the present figures of the group, for choice by entry VMs and for operators. */
    GroupStatus status(long nowNanos);
}
