package io.coppershelf.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import com.github.rvesse.airline.annotations.restrictions.Pattern;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.coppershelf.cli.internal.DaemonAddress;
import io.coppershelf.cli.internal.FleetReport;
import io.coppershelf.cli.internal.OperatorClient;
import io.coppershelf.cli.internal.ServerReport;
import io.coppershelf.cli.internal.ServiceReport;
import io.coppershelf.cli.internal.Table;
import java.io.PrintStream;
import java.util.Optional;

/** Shows the services, their backend servers and the ticket in force. */
@Command(name = "status", description = "Shows the services, their backend servers and the ticket in force")
@ExitCodes(
        codes = {ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE, ExitCode.NOT_REACHABLE},
        descriptions = {
            "shown in full",
            "shown, but the condition of some servers is unknown",
            "the command line is not valid",
            "the daemon can't be reached"
        })
public final class StatusCommand implements CliCommand {
    @Required
    @Option(name = "--at", description = "The operator address of any daemon", title = "HOST:PORT")
    private String at = "";

    @Option(name = "--service", description = "Only this service", title = "NAME")
    @Pattern(pattern = "[a-z0-9-]+", description = "lower-case letters, digits and hyphens")
    private String service = "";

    @Option(name = "--json", description = "Print one JSON document")
    private boolean isJson = false;

    @Override
    public int run(Console console) {
        DaemonAddress daemon = Addresses.parse(at);
        Optional<FleetReport> report = FleetReport.collect(daemon, service, new OperatorClient());
        if (report.isEmpty()) {
            console.err().println("coppershelf: daemon " + daemon + " can't be reached");
            return ExitCode.NOT_REACHABLE;
        }
        FleetReport fleet = report.get();
        fleet.unreachable()
                .forEach(owner -> console.err()
                        .println("coppershelf: daemon " + owner
                                + " can't be reached; the servers that it serves are shown as unknown"));
        if (isJson) {
            console.out().println(json(fleet));
        } else {
            print(fleet, console.out());
        }
        return fleet.unreachable().isEmpty() ? ExitCode.OK : ExitCode.FAILED;
    }

    private static void print(FleetReport fleet, PrintStream out) {
        JsonNode status = fleet.status();
        out.printf(
                "VM %s in %s, %s, ticket %d, digest %s, %d VMs live%n",
                status.path("vm").asText(),
                status.path("dataCentre").asText(),
                status.path("ready").asBoolean() ? "ready" : "not ready",
                status.path("ticket").path("number").asLong(),
                status.path("ticket").path("digest").asText(),
                status.path("fleet").size());
        status.path("alarms").forEach(alarm -> out.println("ALARM " + alarm.asText()));
        fleet.services().forEach(report -> print(report, out));
    }

    private static void print(ServiceReport service, PrintStream out) {
        out.printf(
                "%n%s: %d of %d servers in service, floor %d, detection weight %s, ticket %d%n",
                service.service(),
                service.inService(),
                service.servers().size(),
                service.floor(),
                service.detectionWeight(),
                service.ticket());
        Table table = new Table("SERVER", "DATA CENTRE", "CONDITION", "IN FLIGHT", "REASON");
        for (ServerReport server : service.servers()) {
            String inFlight = server.inFlight() + "/" + server.slots();
            table.add(server.server(), server.dataCentre(), server.condition(), inFlight, server.reason());
        }
        table.lines().forEach(line -> out.println("  " + line));
    }

    private static JsonNode json(FleetReport fleet) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.put("vm", fleet.status().path("vm").asText());
        document.set("ticket", fleet.status().path("ticket"));
        document.set("alarms", fleet.status().path("alarms"));
        ArrayNode services = document.putArray("services");
        for (ServiceReport report : fleet.services()) {
            ObjectNode node = services.addObject()
                    .put("service", report.service())
                    .put("floor", report.floor())
                    .put("inService", report.inService())
                    .put("ticket", report.ticket());
            ArrayNode servers = node.putArray("servers");
            report.servers()
                    .forEach(server -> servers.addObject()
                            .put("server", server.server())
                            .put("dataCentre", server.dataCentre())
                            .put("condition", server.condition())
                            .put("reason", server.reason())
                            .put("inFlight", server.inFlight())
                            .put("slots", server.slots()));
        }
        ArrayNode unreachable = document.putArray("unreachable");
        fleet.unreachable().forEach(owner -> unreachable.add(owner.toString()));
        return document;
    }
}
