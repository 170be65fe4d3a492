package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.CallerLimits;
import io.coppershelf.catalog.Catalog;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.RouteTable;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.catalog.Tenant;
import io.coppershelf.catalog.TenantTable;
import io.coppershelf.catalog.UsageCap;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.quota.Refusal;
import io.coppershelf.quota.Token;
import io.coppershelf.quota.TokenSource;
import io.coppershelf.testing.Catalogs;
import io.coppershelf.testing.Conditions;
import io.coppershelf.testing.FreePorts;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the exchange of tokens between two VMs over loopback sockets. */
final class QuotaExchangeTest implements TokenSource.Listener {
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Set<InetSocketAddress> granters = ConcurrentHashMap.newKeySet();
    private final AtomicInteger refusals = new AtomicInteger();

    @AfterEach
    void stop() {
        loops.shutdownGracefully();
    }

    /** Guards against a VM that refuses its callers although the other one has tokens. */
    @Test
    void vmBorrowsTokensOfTheOtherOneAndRefusesBeyondTheCap() {
        Vm first = new Vm(FreePorts.address());
        Vm second = new Vm(FreePorts.address());
        first.meet(second);
        second.meet(first);
        Conditions.await(() -> {
            for (int i = 0; i < 20; i++) {
                first.exchange.acquire("capped", this);
            }
            return granters.size() == 2;
        });
        assertThat(granters).containsExactly(first.address, second.address);
        Conditions.await(() -> refusals.get() > 0);
    }

    @Override
    public void admitted(Token token) {
        granters.add(token.granter());
    }

    @Override
    public void refused(Refusal refusal) {
        if (refusal.isOverCap()) {
            refusals.incrementAndGet();
        }
    }

    private final class Vm {
        private final InetSocketAddress address;
        private final Membership membership;
        private final QuotaExchange exchange;

        Vm(InetSocketAddress address) {
            this.address = address;
            membership = new Membership(address, "here", 1, List.of(), new Random(1), System.nanoTime());
            var loop = loops.next();
            FleetMessenger messenger = new FleetMessenger(loop, membership);
            exchange = new QuotaExchange(
                    loop,
                    membership,
                    messenger,
                    new MembershipExchange(membership, messenger),
                    QuotaExchangeTest::catalog,
                    new Random(1),
                    new MeshMetrics(new PrometheusRegistry()));
            messenger.use(MeshSocket.open(loop, address, exchange::handle, EventLog.NONE));
        }

        void meet(Vm other) {
            membership.merge(other.membership.nextEntries(false, System.nanoTime()), System.nanoTime());
        }
    }

    private static Catalog catalog() {
        Tenant tenant = new Tenant("capped", Optional.empty(), Optional.of(new UsageCap(20, 20)));
        FleetConfiguration configuration = new FleetConfiguration(
                1,
                RouteTable.of(List.of()),
                Map.of(),
                CallerLimits.DEFAULT,
                Optional.of(TenantTable.of(Map.of(tenant, List.of("k")))));
        return new Catalog(Optional.of(configuration), ServerList.of(Catalogs.revision(1), List.of()));
    }
}
