package io.coppershelf.health;

import java.util.Map;

/** The commands that the health of a group issues to its owner. */
public interface HealthCommands {
    /** Requests a grant to eject the server, or renews it. */
    void requestGrant(String server, String reason);

    /** Releases the grant to eject the server. */
    void releaseGrant(String server);

    /** Probes the server. */
    void probe(String server);

    /** Queries other VMs whether they can reach the server. */
    void queryReachability(String server);

    /** Cancels an attempt that runs on the server. */
    void cancel(String attemptId, String server);

    /** Sends the typical service times, per route in nanoseconds, to the other owners of the service. */
    void shareServiceTimes(Map<String, Long> typicalNanos);

    /** Records a change of the server's condition. */
    void conditionChanged(String server, ServerCondition from, ServerCondition to, String reason);
}
