package io.coppershelf.ticket;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TicketDocumentTest {
    private static final String VALID = """
            {"ticket": 12,
             "services": {"rotavis": {"floor": 7, "detectionWeight": 0.8}, "old": null},
             "servers": {"rotavis-1": {"service": "rotavis", "dataCentre": "herning", "host": "127.0.0.11",
                                       "port": 7001, "slots": 6, "connections": 330},
                         "rotavis-2": {"service": "rotavis", "dataCentre": "viborg", "host": "127.0.0.12",
                                       "port": 7001, "slots": 6, "connections": 330, "draining": true}},
             "routes": {"rotavis/week": {"service": "rotavis", "method": "GET", "path": "/rotavis/week/*",
                                         "idempotent": true, "deadlineMillis": 2000, "weight": 5,
                                         "largestBody": 0, "largestAnswer": 65536},
                        "rotavis/claim": {"service": "rotavis", "method": "POST", "path": "/rotavis/claims",
                                          "idempotent": false, "deadlineMillis": 5000, "weight": 20,
                                          "largestBody": 4096, "largestAnswer": 4096}}}""";

    @Test
    void parsesEveryFieldOfAValidTicket() {
        Ticket ticket = TicketDocument.parse(VALID);

        assertThat(ticket.number()).isEqualTo(12);
        assertThat(ticket.objects())
                .containsExactly(
                        ObjectState.removed(new ObjectKey(ObjectType.SERVICE, "old")),
                        ObjectState.present(new ServiceSpec("rotavis", 7, 0.8)),
                        ObjectState.present(
                                new ServerSpec("rotavis-1", "rotavis", "herning", "127.0.0.11", 7001, 6, 330, false)),
                        ObjectState.present(
                                new ServerSpec("rotavis-2", "rotavis", "viborg", "127.0.0.12", 7001, 6, 330, true)),
                        ObjectState.present(new RouteSpec(
                                "rotavis/claim",
                                "rotavis",
                                "POST",
                                "/rotavis/claims",
                                false,
                                Duration.ofSeconds(5),
                                20,
                                4096,
                                4096)),
                        ObjectState.present(new RouteSpec(
                                "rotavis/week",
                                "rotavis",
                                "GET",
                                "/rotavis/week/*",
                                true,
                                Duration.ofSeconds(2),
                                5,
                                0,
                                65536)))
                .inOrder();
    }

    @Test
    void writtenDocumentParsesToAnEqualTicket() {
        Ticket ticket = TicketDocument.parse(VALID);

        Ticket parsedAgain = TicketDocument.parse(TicketDocument.write(ticket));

        assertThat(parsedAgain).isEqualTo(ticket);
        assertThat(TicketDigest.of(parsedAgain)).isEqualTo(TicketDigest.of(ticket));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            "ticket": 12              | "ticket": 0               | /ticket: must be at least 1, but is 0
            "ticket": 12              | "ticket": 1.5             | /ticket: must be integer, but is number
            "ticket": 12              | "ticket": 12, "author": 1 | (document): key "author" is unknown
            "floor": 7                | "floor": -1               | /services/rotavis/floor: must be at least 0
            "floor": 7                | "flor": 7                 | /services/rotavis: key "floor" is missing
            0.8                       | 1.2                       | /services/rotavis/detectionWeight: must be at most 1
            "slots": 6                | "slots": 0                | /servers/rotavis-1/slots: must be at least 1
            "host": "127.0.0.11"      | "host": "farm"            | /servers/rotavis-1/host: must be an IP number
            127.0.0.12                | 127.0.0.11                | /servers/rotavis-2: must not have the address 127.0.0.11:7001
            "service": "rotavis"      | "service": "old"          | /servers/rotavis-1/service: must not be a service that the ticket removes
            "method": "GET"           | "method": "BREW"          | /routes/rotavis~1week/method: must be one of
            /rotavis/week/*           | rotavis/week              | /routes/rotavis~1week/path: must begin with /
            /rotavis/week/*           | /rotavis/*/week           | /routes/rotavis~1week/path: must begin with /
            /rotavis/week/*           | /rotavis/../week          | /routes/rotavis~1week/path: must begin with /
            /rotavis/week/*           | /coppershelf/status       | /routes/rotavis~1week/path: must not lie under /coppershelf
            "GET", "path": "/rotavis/week/*" | "POST", "path": "/rotavis/claims" | must not have the method and path POST /rotavis/claims
            "deadlineMillis": 2000    | "deadlineMillis": 9       | /routes/rotavis~1week/deadlineMillis: must be at least 50
            "largestAnswer": 65536    | "largestAnswer": 9999999  | /routes/rotavis~1week/largestAnswer: must be at most 1048576
            "rotavis/week":           | "week":                   | must be SERVICE/KIND
            "ticket": 12,             | "ticket": 12              | must be JSON, but line 2
            """)
    void reportsEachProblemWithItsPath(String valid, String invalid, String expected) {
        String text = VALID.replace(valid, invalid);

        CoppershelfException failure = assertThrows(CoppershelfException.class, () -> TicketDocument.parse(text));

        assertThat(failure.kind()).isEqualTo(ErrorKind.INVALID_TICKET);
        assertThat(failure).hasMessageThat().contains(expected);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            {"ticket": 3}                    | must touch at least one
            {"ticket": 3, "services": {}}    | must touch at least one
            []                               | must be object, but is array
            ''                               | is empty
            {"ticket": 3} x                  | must be JSON
            """)
    void rejectsDocumentWithoutContent(String text, String expected) {
        CoppershelfException failure = assertThrows(CoppershelfException.class, () -> TicketDocument.parse(text));

        assertThat(failure).hasMessageThat().contains(expected);
    }

    @Test
    void rejectsDocumentOverOneMegabyte() {
        String text = VALID + " ".repeat(TicketDocument.MAX_DOCUMENT_BYTES);

        CoppershelfException failure = assertThrows(CoppershelfException.class, () -> TicketDocument.parse(text));

        assertThat(failure).hasMessageThat().contains("must be at most 1048576 bytes");
    }
}
