package io.coppershelf.operator.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.Iterator;
import java.util.Optional;

/** Builds the JSON documents that describe this VM and its fleet. */
public final class StatusPages {
    private final String vm;
    private final String dataCentre;
    private final DefaultOperatorRegistry registry;
    private volatile Optional<FleetStatus> fleet = Optional.empty();

    /**
     * Creates the pages of a VM.
     *
     * @param vm its id
     * @param dataCentre its data centre
     * @param registry what the components have registered
     */
    public StatusPages(String vm, String dataCentre, DefaultOperatorRegistry registry) {
        this.vm = vm;
        this.dataCentre = dataCentre;
        this.registry = registry;
    }

    /** Sets the source of the fleet's status; before that, the pages describe this VM only. */
    public void setFleet(FleetStatus status) {
        fleet = Optional.of(status);
    }

    /** Returns the complete status, or only the services and server groups of one service. */
    ObjectNode status(Optional<String> service) {
        ObjectNode document = head();
        fleet.ifPresent(status -> {
            status.describeTicket(document);
            status.describeAlarms(document);
            status.describeServices(document, service);
            status.describeFleet(document);
        });
        registry.describe(document);
        service.ifPresent(name -> keepService(document.path("groups"), name));
        return document;
    }

    /** Returns the ticket in force. */
    ObjectNode ticket() {
        ObjectNode document = head();
        fleet.ifPresent(status -> status.describeTicket(document));
        return document;
    }

    /** Returns the live VMs. */
    ObjectNode fleet() {
        ObjectNode document = head();
        fleet.ifPresent(status -> status.describeFleet(document));
        return document;
    }

    private ObjectNode head() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("vm", vm)
                .put("dataCentre", dataCentre)
                .put("time", Instant.now().toString())
                .put("ready", registry.unmetConditions().isEmpty());
    }

    private static void keepService(JsonNode groups, String service) {
        for (Iterator<JsonNode> group = groups.elements(); group.hasNext(); ) {
            if (!group.next().path("service").asText().equals(service)) {
                group.remove();
            }
        }
    }
}
