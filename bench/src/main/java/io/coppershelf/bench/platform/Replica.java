package io.coppershelf.bench.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * What the platform has published at one moment.
 *
 * @param tickets the ticket documents in the order of their publication
 * @param revision the revision of the list of VMs
 * @param vms the list of VMs
 */
record Replica(List<String> tickets, long revision, JsonNode vms) {
    private static final int LARGEST_ANSWER_CHARS = 1_000_000;

    static Replica empty() {
        return new Replica(List.of(), 0, JsonNodeFactory.instance.arrayNode());
    }

    Replica withTicket(String document) {
        List<String> longer = new ArrayList<>(tickets);
        longer.add(document);
        return new Replica(List.copyOf(longer), revision, vms);
    }

    Replica withVms(JsonNode list) {
        return new Replica(tickets, revision + 1, list);
    }

    Replica rolledBack() {
        return new Replica(tickets.subList(0, tickets.size() / 2), Math.max(0, revision - 1), vms);
    }

    /** Returns whether a watch from the position has something to say. */
    boolean hasTicketsFor(long position) {
        return tickets.size() != position;
    }

    /** Returns whether a watch from the revision has something to say. */
    boolean hasVmsFor(long known) {
        return revision != known;
    }

    /** Returns the tickets after the position, as many as one answer holds but at least one. */
    ObjectNode ticketsAfter(long position) {
        ObjectNode answer = JsonNodeFactory.instance.objectNode();
        ArrayNode list = answer.putArray("tickets");
        int next = (int) Math.min(position, tickets.size());
        int room = LARGEST_ANSWER_CHARS;
        while (next < tickets.size() && (list.isEmpty() || tickets.get(next).length() <= room)) {
            room -= tickets.get(next).length();
            list.add(tickets.get(next));
            next++;
        }
        return answer.put("position", next);
    }

    ObjectNode vmsAnswer() {
        ObjectNode answer = JsonNodeFactory.instance.objectNode().put("revision", revision);
        answer.set("vms", vms);
        return answer;
    }
}
