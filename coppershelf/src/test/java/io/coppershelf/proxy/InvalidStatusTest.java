package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.health.estimate.Observation;
import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Scenario: a server sends an answer that is whole but for its status line. Guards against bytes that are no answer in
 * HTTP and reach callers, whose parsers fail on them.
 */
@Timeout(30)
final class InvalidStatusTest {
    private static final String FIELDS = "\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbody";

    @AutoClose
    private final ProxyFixture proxy = new ProxyFixture();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 20 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 4040 Not Found",
                "HTTP/1.1 40 Not Found",
                "HTTP/1.1 050 Status",
                "HTTP/1.1 600 Status",
                "HTTP/1.1 999 Status",
                "HTTP/1.1 000 Status",
                "HTTP/1.1 +404 Not Found",
                "HTTP/1.1 -404 Not Found",
                "HTTP/1.1 404x Not Found",
                "HTTP/9.9 404 Not Found",
                "HTTP/2.0 404 Not Found",
                "HTTP/0.9 404 Not Found",
                "XTTP/1.1 404 Not Found",
                "HTTP/1.1 101 Switching Protocols"
            })
    void answerWithAStatusLineThatHttpDoesNotHaveIsNotDelivered(String statusLine) throws IOException {
        try (FakeBackendServer server = FakeBackendServer.start(request -> bytes(statusLine + FIELDS))) {
            proxy.serve(server);
            RawCaller.Reply reply = proxy.call("POST", "/once/1");
            assertThat(reply.status()).isEqualTo(502);
            assertThat(reply.header("Coppershelf-Outcome")).isEqualTo("unknown");
            assertThat(reply.header("Signature")).isEmpty();
            assertThat(proxy.state().observations()).containsExactly(Observation.GARBLED);
        }
    }

    /** Guards against answers that are refused although HTTP has their status. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200",
                "HTTP/1.1 299 Any text: 200 \u00e9",
                "HTTP/1.0 404 Not Found",
                "HTTP/1.2 451 Unavailable For Legal Reasons",
                "HTTP/1.1 599 "
            })
    void answerWithAnyStatusOfHttpIsDelivered(String statusLine) throws IOException {
        try (FakeBackendServer server = FakeBackendServer.start(request -> bytes(statusLine + FIELDS))) {
            proxy.serve(server);
            RawCaller.Reply reply = proxy.call("POST", "/once/1");
            assertThat(reply.status()).isEqualTo(Integer.parseInt(statusLine.substring(9, 12)));
            assertThat(reply.body()).isEqualTo("body");
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
