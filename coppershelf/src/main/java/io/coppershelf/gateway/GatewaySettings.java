package io.coppershelf.gateway;

import io.coppershelf.proxy.HeaderNames;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The settings of a daemon.
 *
 * @param vm the name of the VM
 * @param dataCentre the data centre of the VM
 * @param callerAddress where callers are served
 * @param readinessAddress where the balancer asks whether the VM is ready
 * @param readinessPath the path that it asks for
 * @param meshAddress where other VMs send their datagrams
 * @param seeds mesh addresses of some VMs; they may be wrong or down
 * @param metricsAddress where metrics are served, on {@code /metrics}; empty for nowhere
 * @param headers the names of headers
 * @param retryRatio repeats for each request that the fleet may send in each window
 * @param retriesPerWindow repeats that the fleet may send besides
 * @param retryWindow the length of the window
 * @param stopLimit the longest time from the order to stop to the exit
 */
public record GatewaySettings(
        String vm,
        String dataCentre,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        String readinessPath,
        InetSocketAddress meshAddress,
        List<InetSocketAddress> seeds,
        Optional<InetSocketAddress> metricsAddress,
        HeaderNames headers,
        double retryRatio,
        double retriesPerWindow,
        Duration retryWindow,
        Duration stopLimit) {
    /** Copies the seeds. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }
}
