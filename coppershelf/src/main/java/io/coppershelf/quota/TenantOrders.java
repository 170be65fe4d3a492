package io.coppershelf.quota;

import io.coppershelf.catalog.UsageCap;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The VMs in the order of each tenant, as the current view of the fleet gives it. Not thread-safe. */
final class TenantOrders {
    /** VMs kept of an order: all granters, and as many successors. */
    private static final int LENGTH = 48;
    /** Tenants whose order is kept; the others are computed again. */
    private static final int MAX_TENANTS = 10_000;

    private final Map<String, List<InetSocketAddress>> orders = new HashMap<>();
    private FleetView view;

    TenantOrders(FleetView view) {
        this.view = view;
    }

    /** Replaces the view. */
    void use(FleetView newView) {
        if (!newView.live().equals(view.live())) {
            orders.clear();
        }
        view = newView;
    }

    FleetView view() {
        return view;
    }

    /** Returns the first VMs in the order of a tenant. */
    List<InetSocketAddress> of(String tenant) {
        if (orders.size() >= MAX_TENANTS) {
            orders.clear();
        }
        return orders.computeIfAbsent(tenant, name -> {
            List<InetSocketAddress> all = GranterOrder.of(name, view.live());
            return List.copyOf(all.subList(0, Math.min(LENGTH, all.size())));
        });
    }

    /** Returns the number of granters of a tenant. */
    int granters(UsageCap cap) {
        return Math.max(1, Math.min(GranterOrder.granters(cap), view.live().size()));
    }
}
