package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.util.stream.Stream;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Scenario: a server, or another VM, stops at some byte of its answer and closes the connection. Guards against callers
 * that get a success with an empty or short body that is framed as complete.
 */
@Timeout(60)
final class CutAnswerTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n";
    private static final String MARKS = "Request-Id: r1\r\nSignature: s\r\n";
    private static final String RELAYED = MARKS + "Coppershelf-Relay-Result: SERVER_ANSWER\r\n";

    @AutoClose
    private final ProxyFixture proxy = new ProxyFixture();

    /** An answer, and the number of bytes from which on its end can't be told from a complete one. */
    private record Framed(String text, int cuts) {
        static Framed of(String text) {
            return new Framed(text, text.length());
        }
    }

    static Stream<Framed> answers() {
        return framed(MARKS);
    }

    static Stream<Framed> relayedAnswers() {
        return framed(RELAYED);
    }

    private static Stream<Framed> framed(String marks) {
        String withoutLength = HEAD + marks + "\r\n";
        return Stream.of(
                Framed.of(HEAD + "Content-Length: 5\r\n" + marks + "\r\nwhole"),
                Framed.of(HEAD + marks + "Content-Length: 5\r\n\r\nwhole"),
                Framed.of(HEAD + marks + "Content-Length: 5\r\nX-Other: y\r\n\r\nwhole"),
                Framed.of(HEAD + marks + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
                new Framed(withoutLength + "whole", withoutLength.length()));
    }

    @ParameterizedTest
    @MethodSource("answers")
    void answerOfAServerThatIsCutAtAnyByteIsNotDelivered(Framed answer) throws IOException {
        int[] cut = {answer.text().length()};
        try (FakeBackendServer server = FakeBackendServer.start(
                request -> FakeBackendServer.thenClose(answer.text().substring(0, cut[0])))) {
            proxy.serve(server);
            assertThat(proxy.call("POST", "/once/1").body()).isEqualTo("whole");
            for (cut[0] = 0; cut[0] < answer.cuts(); cut[0]++) {
                assertUnknown(cut[0], proxy.call("POST", "/once/1"));
            }
        }
    }

    @ParameterizedTest
    @MethodSource("relayedAnswers")
    void answerOfAnotherVmThatIsCutAtAnyByteIsNotDelivered(Framed answer) throws IOException {
        int[] cut = {answer.text().length()};
        try (FakeBackendServer vm = FakeBackendServer.start(
                request -> FakeBackendServer.thenClose(answer.text().substring(0, cut[0])))) {
            proxy.handRequestsTo(vm.port());
            assertThat(proxy.call("POST", "/once/1").body()).isEqualTo("whole");
            for (cut[0] = 0; cut[0] < answer.cuts(); cut[0]++) {
                assertUnknown(cut[0], proxy.call("POST", "/once/1"));
            }
        }
    }

    private static void assertUnknown(int cut, RawCaller.Reply reply) {
        assertWithMessage("status of an answer that is cut after %s bytes", cut)
                .that(reply.status())
                .isEqualTo(502);
        assertThat(reply.header("Coppershelf-Outcome")).isEqualTo("unknown");
        assertThat(reply.header("Signature")).isEmpty();
    }
}
