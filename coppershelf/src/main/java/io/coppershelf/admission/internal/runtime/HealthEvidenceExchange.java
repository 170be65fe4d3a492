package io.coppershelf.admission.internal.runtime;

import io.coppershelf.admission.GroupEvent;
import io.coppershelf.admission.GroupName;
import io.coppershelf.backend.BackendClient;
import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.peer.PeerExchange;
import io.coppershelf.peer.PeerReply;
import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ServerSpec;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Exchanges evidence on the health of backend servers with other VMs: typical service times and reachability. */
final class HealthEvidenceExchange {
    /** The largest number of VMs that are queried whether they can reach a server. */
    private static final int MAX_QUERIED_VMS = 2;

    /** The number of VMs among which those of other data centres are selected. */
    private static final int QUERY_CANDIDATES = 16;

    private static final Duration QUERY_TIMEOUT = Duration.ofMillis(500);
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);

    private final PeerExchange peers;
    private final FleetView.Source fleet;
    private final Configuration.Source configuration;
    private final BackendClient backend;

    HealthEvidenceExchange(
            PeerExchange peers, FleetView.Source fleet, Configuration.Source configuration, BackendClient backend) {
        this.peers = peers;
        this.fleet = fleet;
        this.configuration = configuration;
        this.backend = backend;
    }

    /** Registers the messages; received evidence is passed to the groups. */
    void register(LocalGroups groups) {
        peers.register(new ReachabilityReplyCodec());
        peers.register(new ReachabilityQueryCodec(), (sender, query, replies) -> reply(query, replies));
        peers.register(new ServiceTimesMessageCodec(), (sender, message, replies) -> receive(sender, message, groups));
    }

    private void reply(ReachabilityQuery query, PeerExchange.Replies replies) {
        Optional<ServerSpec> server = configuration.current().server(query.server());
        if (server.isEmpty()) {
            replies.reply(new ReachabilityReply(query.server(), false));
            return;
        }
        var unused = backend.probe(server.get(), PROBE_TIMEOUT)
                .thenAccept(state -> replies.reply(new ReachabilityReply(query.server(), state.isPresent())));
    }

    private static void receive(String sender, ServiceTimesMessage message, LocalGroups groups) {
        groups.all().stream()
                .filter(runtime -> runtime.name().service().equals(message.service()))
                .forEach(runtime -> runtime.on(new GroupEvent.ServiceTimesReceived(sender, message.typicalNanos())));
    }

    /** Queries VMs of other data centres whether they can reach the server; the listener is called for each reply. */
    void queryReachability(GroupName group, String server, Consumer<Boolean> listener) {
        FleetView view = fleet.current();
        view.ranked("witness/" + server, "", QUERY_CANDIDATES).stream()
                .filter(vm -> !vm.id().equals(view.self().id()))
                .filter(vm -> !vm.dataCentre().equals(group.dataCentre()))
                .limit(MAX_QUERIED_VMS)
                .forEach(vm -> query(vm, server, listener));
    }

    private void query(Vm vm, String server, Consumer<Boolean> listener) {
        var unused = peers.request(vm, new ReachabilityQuery(server), QUERY_TIMEOUT)
                .thenAccept(reply -> {
                    if (reply instanceof PeerReply.Received received
                            && received.message() instanceof ReachabilityReply reachability
                            && reachability.server().equals(server)) {
                        listener.accept(reachability.reachable());
                    }
                });
    }

    /** Sends the typical service times to the owners of the other groups of the service. */
    void shareServiceTimes(GroupName group, Map<String, Long> typicalNanos) {
        FleetView view = fleet.current();
        List<Vm> owners = configuration.current().servers(group.service()).stream()
                .map(ServerSpec::dataCentre)
                .distinct()
                .filter(dataCentre -> !dataCentre.equals(group.dataCentre()))
                .flatMap(dataCentre -> new GroupName(group.service(), dataCentre)
                        .owners(view).stream().limit(1))
                .distinct()
                .filter(vm -> !vm.id().equals(view.self().id()))
                .toList();
        owners.forEach(vm -> peers.send(vm, new ServiceTimesMessage(group.service(), typicalNanos)));
    }
}
