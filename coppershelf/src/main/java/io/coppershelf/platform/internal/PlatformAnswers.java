package io.coppershelf.platform.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.InetAddresses;
import io.coppershelf.document.Problems;
import io.coppershelf.document.StrictJson;
import io.coppershelf.membership.Vm;
import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.platform.Platform.PublishedTickets;
import io.coppershelf.platform.Platform.PublishedVms;
import io.coppershelf.ticket.TicketDocument;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Parses the platform's answers; an answer that is not in the agreed format fails with
 * {@link ErrorKind#PLATFORM_GARBLED}.
 */
final class PlatformAnswers {
    private static final int MAX_PORT = 65_535;
    private static final String NAME_PATTERN = "[a-z0-9][a-z0-9-]{0,62}";

    private PlatformAnswers() {}

    static PublishedTickets tickets(byte[] body) {
        JsonNode answer = read(body);
        List<String> documents = new ArrayList<>();
        for (JsonNode document : array(answer, "tickets")) {
            check(document.isTextual(), "a ticket is not a string");
            check(
                    document.textValue().length() <= TicketDocument.MAX_DOCUMENT_BYTES,
                    "a ticket is larger than one megabyte");
            documents.add(document.textValue());
        }
        return new PublishedTickets(number(answer, "position"), documents);
    }

    static PublishedVms vms(byte[] body) {
        JsonNode answer = read(body);
        List<Vm> vms = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (JsonNode node : array(answer, "vms")) {
            Vm vm = vm(node);
            check(ids.add(vm.id()), "VM \"" + vm.id() + "\" is listed twice");
            vms.add(vm);
        }
        return new PublishedVms(number(answer, "revision"), vms);
    }

    private static Vm vm(JsonNode node) {
        String host = text(node, "host");
        check(InetAddresses.isInetAddress(host), "host \"" + host + "\" is not an IP number");
        return new Vm(
                name(node, "id"),
                node.has("incarnation") ? number(node, "incarnation") : 0,
                name(node, "dataCentre"),
                host,
                port(node, "peerPort"),
                port(node, "operatorPort"),
                node.path("leaving").asBoolean(false));
    }

    private static JsonNode read(byte[] body) {
        Problems problems = new Problems();
        JsonNode answer = StrictJson.read(decode(body), problems).orElse(null);
        problems.throwIfAny(ErrorKind.PLATFORM_GARBLED, "platform's answer is not JSON:");
        check(answer.isObject(), "answer is not an object");
        return answer;
    }

    private static String decode(byte[] body) {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(body))
                    .toString();
        } catch (CharacterCodingException e) {
            throw CoppershelfException.causedBy(ErrorKind.PLATFORM_GARBLED, "platform's answer is not UTF-8", e);
        }
    }

    private static JsonNode array(JsonNode node, String key) {
        check(node.path(key).isArray(), "\"" + key + "\" is not an array");
        return node.path(key);
    }

    private static long number(JsonNode node, String key) {
        JsonNode value = node.path(key);
        check(
                value.isIntegralNumber() && value.canConvertToLong() && value.longValue() >= 0,
                "\"" + key + "\" is not a number from 0");
        return value.longValue();
    }

    private static int port(JsonNode node, String key) {
        long port = number(node, key);
        check(port >= 1 && port <= MAX_PORT, "\"" + key + "\" is not a port");
        return (int) port;
    }

    private static String name(JsonNode node, String key) {
        String name = text(node, key);
        check(name.matches(NAME_PATTERN), "\"" + key + "\" is not a name");
        return name;
    }

    private static String text(JsonNode node, String key) {
        check(node.path(key).isTextual(), "\"" + key + "\" is not a string");
        return node.path(key).textValue();
    }

    private static void check(boolean condition, String problem) {
        if (!condition) {
            throw CoppershelfException.of(ErrorKind.PLATFORM_GARBLED, "platform's answer is not valid: " + problem);
        }
    }
}
