package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Scenario: a server begins an answer without a length while the request is still being written, and resets the
 * connection halfway. Guards against the half that is delivered as a complete success.
 */
@Timeout(60)
final class ResetDuringWriteTest {
    private static final int REQUESTS = 5;
    private static final int UPLOAD_BYTES = 900_000;
    private static final String MARKS = "Request-Id: r1\r\nSignature: s\r\n";

    @AutoClose
    private final ProxyFixture proxy = ProxyFixture.withMemory(40L * 1024 * 1024);

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n" + MARKS + "\r\n",
                "HTTP/1.1 200 OK\r\n" + MARKS + "Connection: close\r\n\r\n",
                "HTTP/1.0 200 OK\r\n" + MARKS + "\r\n",
                "HTTP/1.1 200 OK\r\n" + MARKS + "Transfer-Encoding: chunked\r\n\r\n4\r\n",
                "HTTP/1.1 200 OK\r\n" + MARKS + "Content-Length: 8\r\n\r\n"
            })
    void answerOfAServerThatIsResetWhileTheRequestIsWrittenIsNotDelivered(String head) throws IOException {
        try (ResettingServer server = ResettingServer.start(head + "half")) {
            proxy.servePorts(server.port());
            assertUnknown();
        }
    }

    /** Guards against the end of the output, after which the unread request resets the connection. */
    @Test
    void answerThatEndsBeforeTheRequestIsReadAndIsThenResetIsNotDelivered() throws IOException {
        String head = "HTTP/1.1 200 OK\r\n" + MARKS + "Connection: close\r\n\r\n";
        try (ResettingServer server = ResettingServer.start(head + "half", ResettingServer.End.OUTPUT_THEN_RESET)) {
            proxy.servePorts(server.port());
            assertUnknown();
        }
    }

    /** Guards against the loss of an answer whose server reads the request to its end after it has answered. */
    @Test
    void answerThatEndsBeforeTheRequestIsReadCompletelyIsDelivered() throws IOException {
        String head = "HTTP/1.1 200 OK\r\n" + MARKS + "Connection: close\r\n\r\n";
        try (ResettingServer server = ResettingServer.start(head + "whole", ResettingServer.End.OUTPUT_THEN_READ)) {
            proxy.servePorts(server.port());
            assertThat(proxy.send(upload()).body()).isEqualTo("whole");
        }
    }

    @Test
    void answerOfAnotherVmThatIsResetWhileTheRequestIsWrittenIsNotDelivered() throws IOException {
        String head = "HTTP/1.1 200 OK\r\n" + MARKS + "Coppershelf-Relay-Result: SERVER_ANSWER\r\n\r\n";
        try (ResettingServer vm = ResettingServer.start(head + "half")) {
            proxy.handRequestsTo(vm.port());
            assertUnknown();
        }
    }

    /** Guards against whole answers that are given up since they have no length, or came before the request's end. */
    @ParameterizedTest
    @ValueSource(strings = {"Connection: close\r\n\r\nwhole", "Content-Length: 5\r\n\r\nwhole"})
    void wholeAnswerIsDelivered(String rest) throws IOException {
        String answer = "HTTP/1.1 200 OK\r\n" + MARKS + rest;
        try (FakeBackendServer server = FakeBackendServer.start(request -> FakeBackendServer.thenClose(answer))) {
            proxy.serve(server);
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(proxy.send(upload()).body()).isEqualTo("whole");
            }
        }
    }

    /** Guards against an answer whose length is reached being given up, since the server reads no further. */
    @Test
    void wholeAnswerOfAStatedLengthIsDeliveredThoughItsConnectionIsReset() throws IOException {
        String answer = "HTTP/1.1 200 OK\r\n" + MARKS + "Content-Length: 5\r\n\r\nwhole";
        try (ResettingServer server = ResettingServer.start(answer)) {
            proxy.servePorts(server.port());
            assertThat(proxy.send(upload()).body()).isEqualTo("whole");
        }
    }

    private void assertUnknown() throws IOException {
        for (int i = 0; i < REQUESTS; i++) {
            RawCaller.Reply reply = proxy.send(upload());
            assertWithMessage("status, with the body '%s'", reply.body())
                    .that(reply.status())
                    .isEqualTo(502);
            assertThat(reply.header("Coppershelf-Outcome")).isEqualTo("unknown");
        }
    }

    private static String upload() {
        return "POST /once/1 HTTP/1.1\nHost: host\nRequest-Id: r1\nDeadline: 3000\nContent-Length: " + UPLOAD_BYTES
                + "\n\n" + "y".repeat(UPLOAD_BYTES);
    }
}
