package io.coppershelf.mesh;

import io.coppershelf.catalog.Catalog;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.Tenant;
import io.coppershelf.catalog.UsageCap;
import io.coppershelf.quota.QuotaAction;
import io.coppershelf.quota.QuotaNode;
import io.coppershelf.quota.TenantCaps;
import io.coppershelf.quota.Token;
import io.coppershelf.quota.TokenSource;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Exchanges the tokens of tenants with other VMs. Confined to the control thread, except for the requested tokens. */
final class QuotaExchange implements TokenSource {
    /** Interval of ticks while answers are awaited; a third of the time until a message is repeated. */
    private static final long PENDING_TICK_MILLIS = 10;

    private static final long VIEW_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final EventLoop loop;
    private final Membership membership;
    private final FleetMessenger messenger;
    private final MembershipExchange members;
    private final MeshMetrics metrics;
    private final QuotaNode node;
    private final Map<Long, Listener> listeners = new HashMap<>();
    private long lastNumber;
    private long viewedNanos;
    private boolean isTickScheduled;

    QuotaExchange(
            EventLoop loop,
            Membership membership,
            FleetMessenger messenger,
            MembershipExchange members,
            Supplier<Catalog> catalog,
            Random random,
            MeshMetrics metrics) {
        this.loop = loop;
        this.membership = membership;
        this.messenger = messenger;
        this.members = members;
        this.metrics = metrics;
        long now = System.nanoTime();
        node = new QuotaNode(new CatalogCaps(catalog), membership.quotaView(now), random, now);
        viewedNanos = now;
    }

    @Override
    public void acquire(String tenant, Listener listener) {
        loop.execute(() -> {
            long now = now();
            listeners.put(++lastNumber, listener);
            execute(node.acquire(tenant, lastNumber, now), now);
        });
    }

    @Override
    public void giveBack(Token token) {
        loop.execute(() -> node.giveBack(token, now()));
    }

    /** Applies a message of another VM. */
    void handle(InetSocketAddress sender, MeshMessage message) {
        if (message instanceof MeshMessage.Tokens tokens) {
            long now = now();
            execute(node.receive(sender, tokens.message(), now), now);
        } else if (message instanceof MeshMessage.Members received && !received.isReplyRequested()) {
            node.recordContact(sender);
        }
    }

    /** Applies the passage of time. */
    void tick() {
        long now = now();
        execute(node.tick(now), now);
    }

    /** Returns the time, after the view was renewed if it is old: this VM may have been paused. */
    private long now() {
        long now = System.nanoTime();
        if (now - viewedNanos >= VIEW_NANOS) {
            viewedNanos = now;
            node.use(membership.quotaView(now), now);
        }
        return now;
    }

    private void execute(List<QuotaAction> actions, long nowNanos) {
        for (QuotaAction action : actions) {
            if (action instanceof QuotaAction.Send send) {
                messenger.send(send.receiver(), new MeshMessage.Tokens(send.message()));
                metrics.recordTokenMessage();
            } else if (action instanceof QuotaAction.RequestContact request) {
                members.requestMembers(request.receiver(), nowNanos);
            } else if (action instanceof QuotaAction.Admit admit) {
                Optional.ofNullable(listeners.remove(admit.requestNumber()))
                        .ifPresent(listener -> listener.admitted(admit.token()));
            } else if (action instanceof QuotaAction.Refuse refuse) {
                Optional.ofNullable(listeners.remove(refuse.requestNumber()))
                        .ifPresent(listener -> listener.refused(refuse.refusal()));
            }
        }
        if (node.isPending() && !isTickScheduled) {
            isTickScheduled = true;
            loop.schedule(
                    () -> {
                        isTickScheduled = false;
                        tick();
                    },
                    PENDING_TICK_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** The caps of the catalog's configuration. */
    private record CatalogCaps(Supplier<Catalog> catalog) implements TenantCaps {
        @Override
        public long version() {
            return catalog.get()
                    .configuration()
                    .map(FleetConfiguration::version)
                    .orElse(0L);
        }

        @Override
        public Optional<UsageCap> cap(String tenant) {
            return catalog.get()
                    .configuration()
                    .flatMap(FleetConfiguration::tenants)
                    .flatMap(tenants -> tenants.byName(tenant))
                    .flatMap(Tenant::cap);
        }
    }
}
