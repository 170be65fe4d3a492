package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.FakeBackendServer.Received;
import io.coppershelf.testing.RawCaller;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Scenario: a faulty server refuses a request, and writes the same refusal once more on the connection when the next
 * request comes, which it runs. Guards against callers that are told "not run" for a request that has run, and against
 * a second run of it on another server.
 */
@Timeout(30)
final class RepeatedRefusalTest {
    private static final int REQUESTS = 30;

    @AutoClose
    private final ProxyFixture proxy = new ProxyFixture();

    private final List<String> run = new CopyOnWriteArrayList<>();

    @ParameterizedTest
    @ValueSource(ints = {503, 429, 421})
    void refusalWithoutAnIdIsNotTakenForThatOfTheNextRequest(int status) throws IOException {
        try (FakeBackendServer first = repeatingRefusals(status, false);
                FakeBackendServer second = repeatingRefusals(status, false)) {
            proxy.serve(first, second);
            assertOutcomesAreTrue();
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {503, 429, 421})
    void refusalWithAnEarlierIdIsNotTakenForThatOfTheNextRequest(int status) throws IOException {
        try (FakeBackendServer first = repeatingRefusals(status, true);
                FakeBackendServer second = repeatingRefusals(status, true)) {
            proxy.serve(first, second);
            assertOutcomesAreTrue();
        }
    }

    /** Guards against requests that wait for their deadline after a refusal that proves that they have not run. */
    @Test
    void refusalWithoutAnIdIsFollowedOnAConnectionThatServedRequestsBefore() throws IOException {
        Set<Integer> used = ConcurrentHashMap.newKeySet();
        try (FakeBackendServer server = FakeBackendServer.start(request ->
                used.add(request.connection()) ? ProxyFixture.answer(request, 200, "ran") : refusal(request, 503))) {
            proxy.serve(server);
            assertThat(call("a").status()).isEqualTo(200);
            RawCaller.Reply refused = call("b");
            assertThat(refused.status()).isEqualTo(503);
            assertThat(refused.header("Coppershelf-Outcome")).isEqualTo("not_run");
            assertThat(call("c").status()).isEqualTo(200);
        }
    }

    /** Guards against a refusal that follows an answer to another request and may belong to a third one. */
    @Test
    void refusalWithoutAnIdAfterAForeignAnswerIsNotTakenForThatOfTheRequest() throws IOException {
        try (FakeBackendServer server = FakeBackendServer.start(request -> joined(
                request.rawAnswer(200, "no", "Request-Id: other", "Signature: s", "Content-Length: 2"),
                refusal(request, 503),
                ProxyFixture.answer(request, 200, "own")))) {
            proxy.serve(server);
            assertThat(call("a").body()).isEqualTo("own");
        }
    }

    private void assertOutcomesAreTrue() throws IOException {
        for (int i = 0; i < REQUESTS; i++) {
            String id = "id-" + i;
            RawCaller.Reply reply = call(id);
            if (reply.header("Coppershelf-Outcome").equals("not_run")) {
                assertWithMessage("runs of a request that was answered as not run")
                        .that(run)
                        .doesNotContain(id);
            }
        }
        assertWithMessage("requests that ran").that(run).containsNoDuplicates();
    }

    private FakeBackendServer repeatingRefusals(int status, boolean hasId) throws IOException {
        Map<Integer, byte[]> refusals = new ConcurrentHashMap<>();
        return FakeBackendServer.start(request -> {
            byte[] refused = hasId
                    ? request.rawAnswer(status, "", "Not-Run: 1", "Content-Length: 0", "Request-Id: " + id(request))
                    : refusal(request, status);
            byte[] earlier = refusals.putIfAbsent(request.connection(), refused);
            if (earlier == null) {
                return refused;
            }
            run.add(id(request));
            return joined(earlier, ProxyFixture.answer(request, 200, "ran"));
        });
    }

    private static byte[] refusal(Received request, int status) {
        return request.rawAnswer(status, "", "Not-Run: 1", "Content-Length: 0");
    }

    private static String id(Received request) {
        return request.headers().get("request-id");
    }

    private static byte[] joined(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    private RawCaller.Reply call(String id) throws IOException {
        return proxy.send(ProxyFixture.request("POST", "/once/1", 3000).replace("r1", id));
    }
}
