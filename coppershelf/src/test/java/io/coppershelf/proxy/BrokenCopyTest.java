package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.primitives.Bytes;
import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.FakeBackendServer.Received;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Scenario: a faulty server writes an answer once more on a kept connection, and breaks the copy off at some byte, so
 * that the next answer continues it. Guards against a head that is put together from two answers.
 */
@Timeout(60)
final class BrokenCopyTest {
    private static final long IDLE_MILLIS = 5;

    @AutoClose
    private final ProxyFixture proxy = new ProxyFixture();

    private final List<String> run = new CopyOnWriteArrayList<>();
    private final Map<Integer, byte[]> firstAnswers = new ConcurrentHashMap<>();
    private FakeBackendServer server;
    private int cut;

    private enum Moment {
        /** In the same write as the answer. */
        WITH_THE_ANSWER,
        /** While the connection is idle. */
        IDLE,
        /** After the next request was sent. */
        BEFORE_THE_NEXT_ANSWER
    }

    /** Guards against "not run" for a request that has run, and so against a second run of it. */
    @ParameterizedTest
    @EnumSource
    void headOfABrokenRefusalIsNoProofThatTheNextRequestHasNotRun(Moment moment) throws Exception {
        server = FakeBackendServer.start(request -> answer(request, moment, 503, 200));
        try (FakeBackendServer started = server) {
            proxy.serve(started);
            int length = text(refusal("a", 503)).length();
            for (cut = 1; cut < length; cut++) {
                assertThat(call("first-" + cut).header("Coppershelf-Outcome")).isEqualTo("not_run");
                awaitEndOf(moment);
                RawCaller.Reply reply = call("second-" + cut);
                assertWithMessage("outcome of a request that ran, after %s bytes of the refusal", cut)
                        .that(reply.header("Coppershelf-Outcome"))
                        .isNotEqualTo("not_run");
                assertServedUnlessSpoiled(moment, cut, reply, 200);
            }
            assertThat(run).hasSize(length - 1);
            assertThat(run).containsNoDuplicates();
        }
    }

    /** Guards against a failure that is delivered as a success. */
    @ParameterizedTest
    @EnumSource
    void headOfABrokenSuccessDoesNotMakeASuccessOfTheNextFailure(Moment moment) throws Exception {
        server = FakeBackendServer.start(request -> answer(request, moment, 200, 500));
        try (FakeBackendServer started = server) {
            proxy.serve(started);
            int length = text(success("a", 200)).length();
            for (cut = 1; cut < length; cut++) {
                assertThat(call("first-" + cut).status()).isEqualTo(200);
                awaitEndOf(moment);
                RawCaller.Reply reply = call("second-" + cut);
                assertWithMessage("status of a failure, after %s bytes of the success", cut)
                        .that(reply.status())
                        .isAtLeast(500);
                assertServedUnlessSpoiled(moment, cut, reply, 500);
            }
        }
    }

    /** Guards against answers that are given up although nothing is wrong with them. */
    private static void assertServedUnlessSpoiled(Moment moment, int cut, RawCaller.Reply reply, int status) {
        if (moment != Moment.BEFORE_THE_NEXT_ANSWER) {
            assertWithMessage("status after %s bytes", cut).that(reply.status()).isEqualTo(status);
        }
    }

    private byte[] answer(Received request, Moment moment, int firstStatus, int nextStatus) {
        String id = request.headers().get("request-id");
        if (id.startsWith("second")) {
            run.add(id);
            byte[] earlier = firstAnswers.getOrDefault(request.connection(), new byte[0]);
            byte[] copy = Arrays.copyOf(earlier, Math.min(cut, earlier.length));
            byte[] own = success(id, nextStatus);
            return moment == Moment.BEFORE_THE_NEXT_ANSWER ? Bytes.concat(copy, own) : own;
        }
        byte[] whole = firstStatus == 503 ? refusal(id, firstStatus) : success(id, firstStatus);
        byte[] copy = Arrays.copyOf(whole, Math.min(cut, whole.length));
        firstAnswers.put(request.connection(), whole);
        if (moment == Moment.IDLE) {
            writeLater(request.connection(), copy);
        }
        return moment == Moment.WITH_THE_ANSWER ? Bytes.concat(whole, copy) : whole;
    }

    private void writeLater(int connection, byte[] bytes) {
        Thread writer = new Thread(
                () -> {
                    try {
                        TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
                        server.write(connection, bytes);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                },
                "broken-copy");
        writer.setDaemon(true);
        writer.start();
    }

    /** Waits until the proxy has closed the connection on which bytes arrived while it was idle. */
    private void awaitEndOf(Moment moment) throws InterruptedException {
        if (moment == Moment.IDLE) {
            server.awaitClose();
        }
    }

    private static byte[] refusal(String id, int status) {
        return bytes("HTTP/1.1 " + status + " Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\nRequest-Id: "
                + id + "\r\n\r\n");
    }

    private static byte[] success(String id, int status) {
        return bytes("HTTP/1.1 " + status + " Status\r\nSignature: s\r\nContent-Length: 4\r\nRequest-Id: " + id
                + "\r\n\r\nbody");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private RawCaller.Reply call(String id) throws IOException {
        return proxy.send(ProxyFixture.request("POST", "/once/1", 3000).replace("r1", id));
    }
}
