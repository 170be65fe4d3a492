package io.coppershelf.operator.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.Iterator;
import java.util.Optional;

/** Puts together the JSON documents that tell of this VM and its fleet. */
public final class StatusPages {
    private final String vm;
    private final String dataCentre;
    private final DefaultOperatorRegistry desk;
    private volatile Optional<FleetStatus> fleet = Optional.empty();

    /**
     * Creates the pages of a VM.
     *
     * @param vm its id
     * @param dataCentre its data centre
     * @param desk what the parts have registered
     */
    public StatusPages(String vm, String dataCentre, DefaultOperatorRegistry desk) {
        this.vm = vm;
        this.dataCentre = dataCentre;
        this.desk = desk;
    }

    /** Adds what is known of the fleet. */
    public void setFleet(FleetStatus status) {
        fleet = Optional.of(status);
    }

    /** Returns everything, or only what concerns one service. */
    ObjectNode status(Optional<String> service) {
        ObjectNode document = head();
        fleet.ifPresent(status -> {
            status.describeTicket(document);
            status.describeAlarms(document);
            status.describeServices(document, service);
            status.describeFleet(document);
        });
        desk.describe(document);
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
                .put("ready", desk.unmetConditions().isEmpty());
    }

    private static void keepService(JsonNode groups, String service) {
        for (Iterator<JsonNode> group = groups.elements(); group.hasNext(); ) {
            if (!group.next().path("service").asText().equals(service)) {
                group.remove();
            }
        }
    }
}
