package io.coppershelf.health;

import java.util.Map;

/** What the health of a group wants done. */
public interface HealthCommands {
    /** Ask for the right to eject the server, or renew it. */
    void requestEjection(String server, String reason);

    /** Give the right to eject the server back. */
    void releaseEjection(String server);

    /** Probe the server. */
    void probe(String server);

    /** Ask other VMs whether they reach the server. */
    void queryReachability(String server);

    /** Cancel a try that runs on the server. */
    void cancel(String attemptId, String server);

    /** Tell the other owners of the service the usual service times, per route in nanoseconds. */
    void shareServiceTimes(Map<String, Long> usualNanos);

    /** Record the change of the server's condition. */
    void conditionChanged(String server, ServerCondition from, ServerCondition to, String reason);
}
