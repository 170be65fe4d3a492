package io.coppershelf.cli;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.coppershelf.operator.HybridClock;
import io.coppershelf.operator.StampedEvent;
import io.coppershelf.operator.Timeline.Event;
import io.coppershelf.operator.TimelineDocument;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DaemonCommandsTest {
    private static final String CLOSED = "127.0.0.1:1";
    private static final String OWNER_STATUS = """
            {"vm": "b", "ticket": {"number": 7, "digest": "00ff"}, "groups": [{"service": "rotavis", "servers": [
              {"server": "rotavis-1", "condition": "IN_SERVICE", "reason": "", "inFlight": 2, "slots": 6},
              {"server": "rotavis-2", "condition": "EJECTED", "reason": "stalls", "inFlight": 6, "slots": 6}]}]}""";
    private static final String STATUS = """
            {"vm": "a", "dataCentre": "herning", "ready": true, "ticket": {"number": 7, "digest": "00ff"},
             "alarms": ["/services/rotavis/floor: must be less"],
             "fleet": [{"vm": "a", "at": "OWNER"}],
             "services": [{"service": "rotavis", "floor": 1, "detectionWeight": 0.8, "ticket": 7,
               "owners": [{"dataCentre": "herning", "vm": "b", "at": "OWNER"}],
               "servers": [{"server": "rotavis-1", "dataCentre": "herning"},
                           {"server": "rotavis-2", "dataCentre": "herning"},
                           {"server": "rotavis-3", "dataCentre": "viborg"}]}]}""";

    private final List<HttpServer> daemons = new ArrayList<>();
    private final TestConsole console = new TestConsole();

    @AfterEach
    void stopDaemons() {
        daemons.forEach(daemon -> daemon.stop(0));
    }

    @Test
    void statusShowsServersAsReportedByTheirOwners() throws Exception {
        String owner = daemon("/status", OWNER_STATUS);
        String queried = daemon("/status", STATUS.replace("OWNER", owner));

        assertThat(console.run("status", "--at", queried)).isEqualTo(0);

        assertThat(console.out()).contains("VM a in herning, ready, ticket 7");
        assertThat(console.out()).contains("ALARM /services/rotavis/floor: must be less");
        assertThat(console.out()).contains("rotavis: 1 of 3 servers in service, floor 1");
        assertThat(console.out()).containsMatch("rotavis-1 +herning +in-service +2/6");
        assertThat(console.out()).containsMatch("rotavis-2 +herning +ejected +6/6 +stalls");
        assertThat(console.out()).containsMatch("rotavis-3 +viborg +unknown");
    }

    @Test
    void statusReportsOwnersThatCannotBeReached() throws Exception {
        String queried = daemon("/status", STATUS.replace("OWNER", CLOSED));

        assertThat(console.run("status", "--json", "--at", queried)).isEqualTo(1);

        assertThat(console.err()).contains("daemon 127.0.0.1:1 can't be reached");
        assertThat(console.out()).contains("\"unreachable\":[\"127.0.0.1:1\"]");
    }

    @ParameterizedTest
    @CsvSource({"7, 00ff, 0, 0", "7, 00ff, 8, 1", "7, 00aa, 0, 1", "6, 00ff, 0, 1"})
    void ticketsFailsUnlessAllDaemonsAgreeAndHaveTheTicket(long number, String digest, long required, int exitCode)
            throws Exception {
        String first = daemon("/ticket", OWNER_STATUS);
        String second =
                daemon("/ticket", "{\"ticket\": {\"number\": %d, \"digest\": \"%s\"}}".formatted(number, digest));

        int result = console.run("tickets", "--ticket", "" + required, "--at", first + "," + second);

        assertThat(result).isEqualTo(exitCode);
        assertThat(console.out()).contains("2 of 2 daemons answered");
    }

    @Test
    void ticketsQueriesTheFleetThatADaemonReports() throws Exception {
        String other = daemon("/", OWNER_STATUS);
        String queried = daemon("/", STATUS.replace("OWNER", other));

        assertThat(console.run("tickets", "--fleet", "--json", "--at", queried)).isEqualTo(0);
        assertThat(console.out()).contains(other);
        assertThat(console.run("tickets", "--at", queried + "," + CLOSED)).isEqualTo(4);
    }

    @Test
    void timelineMergesTheEventsOfAllDaemonsInOrderOfTheirStamps() throws Exception {
        String first = daemon("/timeline", timeline("a", 0, event(1, "a", "one"), event(3, "a", "three")));
        String second = daemon("/timeline", timeline("b", 9, event(2, "b", "two"), event(3, "b", "four")));

        assertThat(console.run("timeline", "--at", first + "," + second)).isEqualTo(0);

        assertThat(console.out()
                        .lines()
                        .map(line -> line.substring(line.indexOf("] ") + 2))
                        .toList())
                .containsExactly("one", "two", "three", "four")
                .inOrder();
        assertThat(console.err()).contains("VM b keeps no events before 1970-01-01T00:00:00.009Z");
    }

    @ParameterizedTest
    @CsvSource({"--service, rotavis", "--server, rotavis-1", "--request, r-9", "--ticket, 7"})
    void timelineFiltersEvents(String option, String value) throws Exception {
        Event full = Event.of("health", "full")
                .ofService("rotavis")
                .ofServer("rotavis-1")
                .ofRequest("r-9")
                .ofTicket(7);
        String daemon = daemon("/timeline", timeline("a", 0, event(1, "a", "bare"), new StampedEvent(2, "a", full)));

        assertThat(console.run("timeline", "--json", option, value, "--at", daemon))
                .isEqualTo(0);

        assertThat(console.out().lines().toList()).hasSize(1);
        assertThat(console.out()).contains("\"text\":\"full\"");
    }

    private static StampedEvent event(long millis, String vm, String text) {
        return new StampedEvent(millis << HybridClock.COUNTER_BITS, vm, Event.of("peer", text));
    }

    private static String timeline(String vm, long overwrittenMillis, StampedEvent... events) {
        long overwritten = overwrittenMillis << HybridClock.COUNTER_BITS;
        return new TimelineDocument(vm, 0, overwritten, List.of(events))
                .toJson()
                .toString();
    }

    private String daemon(String path, String document) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        byte[] bytes = document.getBytes(StandardCharsets.UTF_8);
        server.createContext(path, exchange -> {
            try (exchange) {
                exchange.sendResponseHeaders(200, bytes.length);
                exchange.getResponseBody().write(bytes);
            }
        });
        server.start();
        daemons.add(server);
        return "127.0.0.1:" + server.getAddress().getPort();
    }
}
