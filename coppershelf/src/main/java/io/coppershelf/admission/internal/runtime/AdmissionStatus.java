package io.coppershelf.admission.internal.runtime;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coppershelf.admission.GroupStatus;
import io.coppershelf.admission.GroupStatus.ServerStatus;
import io.coppershelf.operator.StatusContributor;

/** Adds the server groups that this VM serves to the status page. */
final class AdmissionStatus implements StatusContributor {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final LocalGroups groups;

    AdmissionStatus(LocalGroups groups) {
        this.groups = groups;
    }

    @Override
    public void describe(ObjectNode status) {
        ArrayNode list = status.putArray("groups");
        groups.all().forEach(runtime -> describe(runtime, list.addObject()));
    }

    private static void describe(GroupRuntime runtime, ObjectNode node) {
        GroupStatus status = runtime.status();
        node.put("service", runtime.name().service());
        node.put("dataCentre", runtime.name().dataCentre());
        node.put("freeSlots", status.freeSlots());
        node.put("queued", status.queued());
        node.put("expectedWaitMillis", status.expectedWaitNanos() / NANOS_PER_MILLI);
        ArrayNode servers = node.putArray("servers");
        status.servers().forEach(server -> describe(server, servers.addObject()));
    }

    private static void describe(ServerStatus server, ObjectNode node) {
        node.put("server", server.server());
        node.put("condition", server.condition().name());
        node.put("reason", server.reason());
        node.put("inFlight", server.inFlight());
        node.put("slots", server.slots());
    }
}
