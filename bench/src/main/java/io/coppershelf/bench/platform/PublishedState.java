package io.coppershelf.bench.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The state that the platform has published at one point in time.
 *
 * @param tickets the ticket documents in the order of their publication
 * @param revision the revision of the VM list
 * @param vms the VM list
 */
record PublishedState(List<String> tickets, long revision, JsonNode vms) {
    private static final int MAX_ANSWER_CHARS = 1_000_000;

    static PublishedState empty() {
        return new PublishedState(List.of(), 0, JsonNodeFactory.instance.arrayNode());
    }

    PublishedState withTicket(String document) {
        List<String> extended = new ArrayList<>(tickets);
        extended.add(document);
        return new PublishedState(List.copyOf(extended), revision, vms);
    }

    PublishedState withVms(JsonNode list) {
        return new PublishedState(tickets, revision + 1, list);
    }

    PublishedState rolledBack() {
        return new PublishedState(tickets.subList(0, tickets.size() / 2), Math.max(0, revision - 1), vms);
    }

    /** Returns whether there is an update for a watch of the tickets after the position. */
    boolean hasTicketsFor(long position) {
        return tickets.size() != position;
    }

    /** Returns whether there is an update for a watch with the known revision. */
    boolean hasVmsFor(long known) {
        return revision != known;
    }

    /** Returns the tickets after the position, as many as fit into one answer but at least one. */
    ObjectNode ticketsAfter(long position) {
        ObjectNode answer = JsonNodeFactory.instance.objectNode();
        ArrayNode list = answer.putArray("tickets");
        int next = (int) Math.min(position, tickets.size());
        int remainingChars = MAX_ANSWER_CHARS;
        while (next < tickets.size() && (list.isEmpty() || tickets.get(next).length() <= remainingChars)) {
            remainingChars -= tickets.get(next).length();
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
