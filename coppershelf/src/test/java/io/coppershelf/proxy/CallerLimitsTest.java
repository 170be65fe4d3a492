package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the limits on the size and duration of callers' requests over real sockets. */
@Timeout(30)
final class CallerLimitsTest {
    @AutoClose
    private final ProxyFixture proxy = new ProxyFixture();

    @Test
    void oversizedHeadIsRefused() throws IOException {
        proxy.serve();
        try (RawCaller caller = proxy.connect()) {
            caller.sendIgnoringErrors("GET /safe/1 HTTP/1.1\nHost: host\nX: " + "x".repeat(5000) + "\n\n");
            assertThat(caller.reply().status()).isEqualTo(431);
        }
    }

    @Test
    void oversizedBodyIsRefused() throws IOException {
        proxy.serve();
        try (RawCaller caller = proxy.connect()) {
            caller.sendIgnoringErrors("POST /once/1 HTTP/1.1\nHost: host\nContent-Length: 6000\n\n" + "x".repeat(6000));
            assertThat(caller.reply().status()).isEqualTo(413);
        }
    }

    @Test
    void malformedRequestIsRefused() throws IOException {
        proxy.serve();
        try (RawCaller caller = proxy.connect()) {
            caller.send("what is this\n\n");
            assertThat(caller.reply().status()).isEqualTo(400);
        }
    }

    @Test
    void callerThatTakesTooLongForTheHeadIsRefusedAsNotRun() throws IOException {
        proxy.serve();
        try (RawCaller caller = proxy.connect()) {
            caller.send("GET /safe/1 HTTP/1.1\nHost: ho");
            assertThat(caller.reply().status()).isEqualTo(408);
        }
    }

    @Test
    void emptyLineAfterARequestBeginsNoHead() throws IOException {
        proxy.serve();
        try (RawCaller caller = proxy.connect()) {
            caller.send(ProxyFixture.request("GET", "/unknown/", 3000));
            assertThat(caller.reply().status()).isEqualTo(404);
            caller.send("\r\n");
            assertThat(caller.reply().head()).isEmpty();
        }
    }

    @Test
    void idleConnectionIsClosedAfterItsTimeout() throws IOException {
        proxy.serve();
        try (RawCaller caller = proxy.connect()) {
            assertThat(caller.reply().head()).isEmpty();
        }
    }
}
