package io.coppershelf.quota;

import io.coppershelf.catalog.UsageCap;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Lends tokens of the tenants for which this VM is a granter, and a reserve of those for which it is one of the first
 * successors. Not thread-safe.
 */
final class Granter {
    /** Time without a request after which the state of a tenant is removed. */
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(30);
    /**
     * Part of the reserve that grows with the rate of the tenant. With the tokens of all granters it stays below the
     * limit over a window: 6 s of the reserve are 1.2 x rate + 12, the excess is 1.25 x rate + 20 -
     * {@link #EXTRA_TOKENS}.
     */
    private static final double RESERVE_SHARE = 0.2;
    /** Part of the reserve that every tenant has, in tokens a second. */
    private static final double RESERVE_PER_SECOND = 2;
    /**
     * Tokens by which the buckets of a tenant exceed its burst. Small tenants have bursts of about one request, so that
     * random arrivals below their rate would be refused; the limit over a window tolerates 20 requests.
     */
    private static final double EXTRA_TOKENS = 6;

    private final TenantCaps caps;
    private final TenantOrders orders;
    private final EarlierBuilds earlierBuilds;
    private final AnswerSample sample;
    private final Map<String, GranterTenant> tenants = new HashMap<>();
    private long roleSinceNanos;

    Granter(TenantCaps caps, TenantOrders orders, EarlierBuilds earlierBuilds, AnswerSample sample, long nowNanos) {
        this.caps = caps;
        this.orders = orders;
        this.earlierBuilds = earlierBuilds;
        this.sample = sample;
        roleSinceNanos = nowNanos;
    }

    /** Empties all buckets, as after a start. */
    void restart(long nowNanos) {
        tenants.clear();
        roleSinceNanos = nowNanos;
    }

    /** Adapts to a changed view of the fleet; tenants of which this VM is a granter no longer are removed. */
    void viewChanged(boolean isLiveChanged, long nowNanos) {
        if (isLiveChanged) {
            roleSinceNanos = nowNanos;
        }
        tenants.entrySet().removeIf(entry -> !refresh(entry.getKey(), entry.getValue(), nowNanos));
    }

    /** Adapts the buckets to the caps in force and removes the state of idle tenants. */
    void sweep(long nowNanos) {
        tenants.values().removeIf(tenant -> tenant.isIdle(nowNanos, IDLE_NANOS));
        viewChanged(false, nowNanos);
    }

    /** Answers a request; the consumer receives the VMs that are before this one in the order and may not grant. */
    QuotaMessage.Grant request(
            InetSocketAddress borrower,
            QuotaMessage.Request request,
            Consumer<InetSocketAddress> predecessors,
            long nowNanos) {
        Optional<Share> share = share(request.tenant(), predecessors);
        if (share.isEmpty()) {
            tenants.remove(request.tenant());
            return new QuotaMessage.Grant(request.tenant(), caps.version(), request.number(), 0, 0);
        }
        GranterTenant tenant = tenants.get(request.tenant());
        if (tenant == null || tenant.isReserve() != share.get().isReserve()) {
            tenant = new GranterTenant(share.get(), roleSinceNanos(share.get(), nowNanos));
            tenants.put(request.tenant(), tenant);
        }
        tenant.use(share.get(), nowNanos);
        return tenant.answer(borrower, request, caps.version(), nowNanos);
    }

    /** Returns the number of tenants with state. */
    int size() {
        return tenants.size();
    }

    /** A reserve always starts empty: it is needed only while a granter is silent. */
    private long roleSinceNanos(Share share, long nowNanos) {
        return share.isReserve() ? nowNanos : roleSinceNanos;
    }

    private boolean refresh(String name, GranterTenant tenant, long nowNanos) {
        Optional<Share> share = share(name, vm -> {});
        if (share.isEmpty() || share.get().isReserve() != tenant.isReserve()) {
            return false;
        }
        tenant.use(share.get(), nowNanos);
        return true;
    }

    private Optional<Share> share(String name, Consumer<InetSocketAddress> predecessors) {
        Optional<UsageCap> cap = caps.cap(name);
        if (cap.isEmpty()) {
            return Optional.empty();
        }
        FleetView view = orders.view();
        int granters = orders.granters(cap.get());
        List<InetSocketAddress> order = orders.of(name).stream()
                .filter(vm -> !earlierBuilds.contains(vm))
                .toList();
        int place = order.indexOf(view.self());
        if (place >= granters) {
            order.subList(0, granters).forEach(predecessors);
        }
        if (place < 0 || place >= granters + GranterOrder.RESERVES) {
            return Optional.empty();
        }
        if (place >= granters) {
            double perSecond = (RESERVE_SHARE * cap.get().perSecond() + RESERVE_PER_SECOND)
                    * view.liveShare()
                    * sample.share()
                    / GranterOrder.RESERVES;
            return Optional.of(new Share(perSecond, Math.max(1, perSecond), true));
        }
        double factor = view.mintFactor(sample.share()) / granters;
        double capacity = (cap.get().burst() + EXTRA_TOKENS) * factor;
        return Optional.of(new Share(cap.get().perSecond() * factor, Math.max(1, capacity), false));
    }

    /**
     * What this VM may issue of a tenant's tokens.
     *
     * @param isReserve whether it is the reserve, since this VM is not a granter
     */
    record Share(double perSecond, double capacity, boolean isReserve) {}
}
