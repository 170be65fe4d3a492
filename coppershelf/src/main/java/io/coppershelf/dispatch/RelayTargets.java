package io.coppershelf.dispatch;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * What this VM knows of the services that other VMs reach, from the ends of the requests that it handed to them. A
 * service that many VMs do not reach either is not tried again for every request. Not thread-safe.
 */
public final class RelayTargets {
    /** Time for which no request of a service is handed to a VM that did not reach the service. */
    static final long AVOID_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** Number of VMs that must not reach a service, one after the other, before it counts as unreachable for all. */
    static final int EXHAUSTED_VMS = 8;
    /** Interval at which one request is handed over while a service counts as unreachable for all VMs. */
    static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Map<String, Service> services = new HashMap<>();

    /**
     * Returns a VM for a request of the service; empty if none is left or all VMs are known not to reach the service.
     *
     * @param excluded the VMs that the request was already handed to
     * @param candidates returns a VM that accepts requests and is not excluded
     */
    public Optional<InetSocketAddress> choose(
            String service,
            Set<InetSocketAddress> excluded,
            Function<Set<InetSocketAddress>, Optional<InetSocketAddress>> candidates,
            long nowNanos) {
        Service known = services.get(service);
        if (known == null) {
            return candidates.apply(excluded);
        }
        if (known.isExhausted && nowNanos - known.retryNanos < 0) {
            return Optional.empty();
        }
        known.avoidedUntil.values().removeIf(until -> nowNanos - until >= 0);
        known.retryNanos = nowNanos + RETRY_NANOS;
        Set<InetSocketAddress> avoided = new HashSet<>(excluded);
        avoided.addAll(known.avoidedUntil.keySet());
        Optional<InetSocketAddress> chosen = candidates.apply(avoided);
        known.isExhausted = known.isExhausted || chosen.isEmpty();
        return chosen;
    }

    /** Records that a VM sent a request of the service to a server. */
    public void reached(String service, InetSocketAddress vm) {
        Service known = services.get(service);
        if (known == null) {
            return;
        }
        known.isExhausted = false;
        known.failedInARow.clear();
        known.avoidedUntil.remove(vm);
    }

    /** Records that a VM could not be reached, or reaches no server of the service. */
    public void notReached(String service, InetSocketAddress vm, long nowNanos) {
        Service known = services.computeIfAbsent(service, name -> new Service());
        known.avoidedUntil.put(vm, nowNanos + AVOID_NANOS);
        known.failedInARow.add(vm);
        if (known.failedInARow.size() >= EXHAUSTED_VMS && !known.isExhausted) {
            known.isExhausted = true;
            known.retryNanos = nowNanos + RETRY_NANOS;
        }
    }

    private static final class Service {
        private final Map<InetSocketAddress, Long> avoidedUntil = new HashMap<>();
        private final Set<InetSocketAddress> failedInARow = new HashSet<>();
        private boolean isExhausted;
        private long retryNanos;
    }
}
