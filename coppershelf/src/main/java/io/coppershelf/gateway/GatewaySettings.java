package io.coppershelf.gateway;

import io.coppershelf.http.BodyLimit;
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
 * @param callerAddress the address at which callers are served
 * @param readinessAddress the address at which the load balancer probes whether the VM is ready
 * @param readinessPath the path of these probes
 * @param meshAddress the address at which other VMs send their datagrams
 * @param relayAddress the address at which other VMs that reach no server hand over requests; empty if they can't
 * @param seeds mesh addresses of some VMs; they may be wrong or down
 * @param metricsAddress the address at which metrics are served, on {@code /metrics}; empty if they are not served
 * @param headers the names of headers
 * @param retryRatio retries that the fleet may send in each window for each request
 * @param retriesPerWindow additional retries that the fleet may send in each window
 * @param retryWindow the length of the window
 * @param stopLimit the longest time from the stop request to the exit of the process
 * @param bodyLimit the memory for the bodies of requests and answers in transit
 * @param features what the deployment asks for beyond the features that all have
 */
public record GatewaySettings(
        String vm,
        String dataCentre,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        String readinessPath,
        InetSocketAddress meshAddress,
        Optional<InetSocketAddress> relayAddress,
        List<InetSocketAddress> seeds,
        Optional<InetSocketAddress> metricsAddress,
        HeaderNames headers,
        double retryRatio,
        double retriesPerWindow,
        Duration retryWindow,
        Duration stopLimit,
        BodyLimit bodyLimit,
        GatewayFeatures features) {
    /** Copies the seeds. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }
}
