package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.testing.FakeBackendServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Scenario: a request crashes each server that begins to run it, and its caller sends it again and again. */
@Timeout(30)
final class PoisonRequestTest {
    private static final int SERVERS = 12;
    private static final String POISON = "/safe/poison";

    @AutoClose
    private final ProxyFixture proxy = new ProxyFixture();

    private final List<FakeBackendServer> servers = new ArrayList<>();
    private final AtomicInteger crashes = new AtomicInteger();

    @BeforeEach
    void startServers() throws IOException {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(FakeBackendServer.start(this::run));
        }
        proxy.serve(servers.toArray(new FakeBackendServer[0]));
    }

    @AfterEach
    void stopServers() throws IOException {
        for (FakeBackendServer server : servers) {
            server.close();
        }
    }

    /** Guards against a request that crashes one server after the other, each time that its caller sends it again. */
    @Test
    void requestUnderWhichThreeServersCrashedIsSentToNoFurtherServer() throws IOException {
        for (int i = 0; i < SERVERS; i++) {
            proxy.call("GET", POISON);
        }
        assertThat(crashes.get()).isEqualTo(3);
    }

    private byte[] run(FakeBackendServer.Received request) throws IOException {
        if (!request.target().equals(POISON)) {
            return ProxyFixture.answer(request, 200, "whole");
        }
        int index = Integer.parseInt(request.headers().get("target").substring("i-".length()));
        crashes.incrementAndGet();
        servers.get(index).crash();
        return new byte[0];
    }
}
