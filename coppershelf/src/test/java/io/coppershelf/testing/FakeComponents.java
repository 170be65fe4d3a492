package io.coppershelf.testing;

import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.claim.Claims;
import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.floor.EjectionGrants;
import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.operator.OperatorRegistry;
import io.coppershelf.operator.StatusContributor;
import io.coppershelf.operator.Timeline;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.peer.PeerExchange;
import io.coppershelf.peer.PeerMessage;
import io.coppershelf.peer.PeerMessageCodec;
import io.coppershelf.peer.PeerReply;
import io.coppershelf.routing.InboundRequest;
import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ConfigurationStore;
import io.coppershelf.ticket.ObjectSpec;
import io.coppershelf.ticket.ObjectState;
import io.coppershelf.ticket.RouteSpec;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import io.coppershelf.ticket.Ticket;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

/** Replaces all components around the traffic path: a single VM with a fixed configuration. */
public final class FakeComponents
        implements Component, Claims, EjectionGrants, Timeline, OperatorRegistry, PeerExchange {
    public static final Vm SELF = new Vm("vm-1", 1, "herning", "127.0.0.1", 1, 2, false);
    public static final String SERVICE = "vagtbank";

    /** The outcomes of completed claims, in order. */
    public final List<Outcome> completed = new CopyOnWriteArrayList<>();

    public final List<BooleanSupplier> readiness = new CopyOnWriteArrayList<>();
    private final PrometheusRegistry metrics = new PrometheusRegistry();
    private final Configuration configuration;
    private final Claims.ClaimResult claimResult;

    private FakeComponents(Configuration configuration, Claims.ClaimResult claimResult) {
        this.configuration = configuration;
        this.claimResult = claimResult;
    }

    /** Returns fakes whose configuration has one service with the given servers and the routes of {@link #routes}. */
    public static FakeComponents of(ServerSpec... servers) {
        List<ObjectState> states = new ArrayList<>();
        List<ObjectSpec> specs = new ArrayList<>(List.of(servers));
        specs.add(new ServiceSpec(SERVICE, 0, 0.5));
        specs.addAll(routes());
        specs.forEach(spec -> states.add(ObjectState.present(spec)));
        ConfigurationStore store = new ConfigurationStore();
        store.apply(new Ticket(1, states));
        return new FakeComponents(store.snapshot(), new Claims.ClaimResult.Claimed());
    }

    /** Returns fakes with the same configuration and another result of all claims. */
    public FakeComponents claiming(Claims.ClaimResult newClaimResult) {
        return new FakeComponents(configuration, newClaimResult);
    }

    public static List<RouteSpec> routes() {
        Duration deadline = Duration.ofSeconds(20);
        return List.of(
                new RouteSpec("vagtbank/shifts", SERVICE, "GET", "/shifts/*", true, deadline, 5, 100, 10_000_000),
                new RouteSpec("vagtbank/claim", SERVICE, "POST", "/claims", false, deadline, 9, 100, 1_000));
    }

    public static RouteSpec route(String name) {
        return routes().stream()
                .filter(route -> route.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    public static ServerSpec server(int port, int slots) {
        return new ServerSpec(SERVICE + "-" + port, SERVICE, SELF.dataCentre(), "127.0.0.1", port, slots, 330, false);
    }

    @Override
    public String name() {
        return "fakes";
    }

    @Override
    public void register(ComponentRegistry registry) {
        registry.register(Configuration.Source.NAME, new FixedConfiguration(configuration));
        registry.register(FleetView.Source.NAME, new FixedFleet());
        registry.register(Claims.NAME, this);
        registry.register(EjectionGrants.NAME, this);
        registry.register(Timeline.NAME, this);
        registry.register(OperatorRegistry.NAME, this);
        registry.register(PeerExchange.NAME, this);
    }

    @Override
    public void start(ComponentRegistry registry) {}

    @Override
    public void stop(Duration limit) {}

    @Override
    public CompletableFuture<Claims.ClaimResult> claim(InboundRequest request) {
        return CompletableFuture.completedFuture(claimResult);
    }

    @Override
    public void complete(InboundRequest request, Outcome outcome, Optional<Answer> answer) {
        completed.add(outcome);
    }

    @Override
    public void request(String service, String server, EjectionGrants.Listener listener) {
        listener.refused(server);
    }

    @Override
    public void release(String service, String server) {}

    @Override
    public void reportOutOfService(String service, String server, boolean out) {}

    @Override
    public void record(Event event) {}

    @Override
    public void addStatus(StatusContributor source) {}

    @Override
    public void addReadiness(String name, BooleanSupplier condition) {
        readiness.add(condition);
    }

    @Override
    public PrometheusRegistry metrics() {
        return metrics;
    }

    @Override
    public void register(PeerMessageCodec<?> codec) {}

    @Override
    public <T extends PeerMessage> void register(PeerMessageCodec<T> codec, Handler<T> handler) {}

    @Override
    public void send(Vm target, PeerMessage message) {}

    @Override
    public CompletableFuture<PeerReply> request(Vm target, PeerMessage message, Duration timeout) {
        return CompletableFuture.completedFuture(new PeerReply.NotSent());
    }

    private record FixedConfiguration(Configuration current) implements Configuration.Source {
        @Override
        public void onChange(Runnable listener) {}
    }

    private static final class FixedFleet implements FleetView.Source, FleetView {
        @Override
        public FleetView current() {
            return this;
        }

        @Override
        public void onChange(Runnable listener) {}

        @Override
        public Vm self() {
            return SELF;
        }

        @Override
        public List<Vm> vms() {
            return List.of(SELF);
        }

        @Override
        public Optional<Vm> vm(String id) {
            return vms().stream().filter(vm -> vm.id().equals(id)).findFirst();
        }

        @Override
        public boolean isReachable(String id) {
            return vm(id).isPresent();
        }

        @Override
        public List<Vm> ranked(String key, String preferredDataCentre, int limit) {
            return vms();
        }
    }
}
