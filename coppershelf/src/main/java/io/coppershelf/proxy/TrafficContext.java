package io.coppershelf.proxy;

import io.coppershelf.dispatch.ReachableChooser;
import io.coppershelf.dispatch.RetryAllocation;
import io.coppershelf.dispatch.ServerChooser;
import io.coppershelf.dispatch.ServerReachability;
import io.coppershelf.dispatch.TypicalLatency;
import io.coppershelf.dispatch.WeightedRoundRobin;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.http.BodyMemory;
import io.coppershelf.poison.CrashRecords;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;

/**
 * The state that all requests of this VM share. Confined to the traffic thread.
 *
 * @param loop the traffic thread
 * @param reachableChooser the choice among the servers that this VM reaches
 * @param pool the connections to servers
 * @param relayPool the connections to other VMs
 */
record TrafficContext(
        EventLoop loop,
        HeaderNames names,
        ControlState state,
        ServerChooser chooser,
        ReachableChooser reachableChooser,
        RetryAllocation budget,
        WeightedRoundRobin roundRobin,
        ServerConnectionPool pool,
        ServerConnectionPool relayPool,
        ServerReachability reachability,
        ReachabilityMonitor monitor,
        TrafficMetrics metrics,
        EventLog log,
        BodyMemory bodies,
        ServerBodies serverBodies,
        CrashRecords crashes,
        AdmissionGate admission,
        Map<String, TypicalLatency> latencies,
        StopDeadline stopDeadline) {

    static TrafficContext create(
            EventLoop loop,
            HeaderNames names,
            ControlState state,
            ServerChooser chooser,
            ReachableChooser reachableChooser,
            RetryAllocation budget,
            WeightedRoundRobin roundRobin,
            ServerConnectionPool pool,
            ServerConnectionPool relayPool,
            ServerReachability reachability,
            ReachabilityMonitor monitor,
            TrafficMetrics metrics,
            EventLog log,
            BodyMemory bodies,
            ServerBodies serverBodies,
            CrashRecords crashes,
            AdmissionGate admission) {
        return new TrafficContext(
                loop,
                names,
                state,
                chooser,
                reachableChooser,
                budget,
                roundRobin,
                pool,
                relayPool,
                reachability,
                monitor,
                metrics,
                log,
                bodies,
                serverBodies,
                crashes,
                admission,
                new HashMap<>(),
                new StopDeadline());
    }

    /** Returns the typical latency of a service for one kind of requests, whatever their route. */
    TypicalLatency latency(String service, String kind) {
        return latencies.computeIfAbsent(service + '/' + kind, key -> new TypicalLatency());
    }
}
