package io.coppershelf.operator.internal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coppershelf.admission.GroupName;
import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ConfigurationReview;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import java.util.List;
import java.util.Optional;

/** Describes the ticket in force, the configured services with the owners of their server groups, and the live VMs. */
public final class FleetStatus {
    private final Configuration.Source configurations;
    private final FleetView.Source fleet;

    /** Creates a view of the snapshots in force. */
    public FleetStatus(Configuration.Source configurations, FleetView.Source fleet) {
        this.configurations = configurations;
        this.fleet = fleet;
    }

    /** Adds the ticket in force. */
    void describeTicket(ObjectNode document) {
        Configuration configuration = configurations.current();
        document.putObject("ticket")
                .put("number", configuration.ticketNumber())
                .put("digest", String.format("%016x", configuration.digest()));
    }

    /** Adds the services, or only one of them. */
    void describeServices(ObjectNode document, Optional<String> only) {
        Configuration configuration = configurations.current();
        FleetView view = fleet.current();
        List<ServiceSpec> services = only.isEmpty()
                ? configuration.services()
                : configuration.service(only.get()).stream().toList();
        ArrayNode list = document.putArray("services");
        services.forEach(service -> describe(service, configuration, view, list.addObject()));
    }

    /** Adds the problems of the configuration in force. */
    void describeAlarms(ObjectNode document) {
        ArrayNode list = document.putArray("alarms");
        ConfigurationReview.of(configurations.current()).forEach(problem -> list.add(problem.toString()));
    }

    /** Adds the live VMs. */
    void describeFleet(ObjectNode document) {
        FleetView view = fleet.current();
        ArrayNode vms = document.putArray("fleet");
        view.vms().forEach(vm -> describe(vm, view, vms.addObject()));
    }

    private static void describe(ServiceSpec service, Configuration configuration, FleetView view, ObjectNode node) {
        node.put("service", service.name())
                .put("floor", service.floor())
                .put("detectionWeight", service.detectionWeight())
                .put("ticket", configuration.serviceTicket(service.name()));
        List<ServerSpec> servers = configuration.servers(service.name());
        ArrayNode list = node.putArray("servers");
        servers.forEach(server -> list.addObject()
                .put("server", server.name())
                .put("dataCentre", server.dataCentre())
                .put("draining", server.draining()));
        ArrayNode owners = node.putArray("owners");
        servers.stream()
                .map(ServerSpec::dataCentre)
                .distinct()
                .sorted()
                .forEach(dataCentre -> describeOwner(new GroupName(service.name(), dataCentre), view, owners));
    }

    private static void describeOwner(GroupName group, FleetView view, ArrayNode owners) {
        group.owners(view).stream()
                .findFirst()
                .ifPresent(owner -> owners.addObject()
                        .put("dataCentre", group.dataCentre())
                        .put("vm", owner.id())
                        .put("at", address(owner)));
    }

    private static void describe(Vm vm, FleetView view, ObjectNode node) {
        node.put("vm", vm.id())
                .put("incarnation", vm.incarnation())
                .put("dataCentre", vm.dataCentre())
                .put("at", address(vm))
                .put("leaving", vm.leaving())
                .put("reachable", view.isReachable(vm.id()));
    }

    private static String address(Vm vm) {
        return vm.host() + ":" + vm.operatorPort();
    }
}
