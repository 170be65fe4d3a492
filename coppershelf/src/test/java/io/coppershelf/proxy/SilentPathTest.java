package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Scenario: connections to the only server of a service get no answer from one VM, while another VM reaches one. */
@Timeout(30)
final class SilentPathTest {
    private static final int FILLING_CONNECTIONS = 8;

    @AutoClose
    private final ProxyFixture proxy = new ProxyFixture();

    @AutoClose
    private final ProxyFixture other = new ProxyFixture();

    private final List<SocketChannel> filling = new ArrayList<>();
    private ServerSocket silent;
    private FakeBackendServer server;

    @BeforeEach
    void start() throws IOException {
        server = FakeBackendServer.start(request -> ProxyFixture.answer(request, 200, "whole"));
        other.serve(server);
        silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        for (int i = 0; i < FILLING_CONNECTIONS; i++) {
            // A full backlog drops further SYN packets, as a path that is down does.
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), silent.getLocalPort()));
            filling.add(channel);
        }
        proxy.servePorts(silent.getLocalPort());
        proxy.state().relays(other.relayAddress());
    }

    @AfterEach
    void stop() throws IOException {
        for (SocketChannel channel : filling) {
            channel.close();
        }
        silent.close();
        server.close();
    }

    /** Guards against requests that each wait for a connection of their own to time out. */
    @Test
    void requestThatWaitsForAServerGoesOnWhenAnEarlierConnectionFails() throws Exception {
        try (RawCaller first = proxy.connect();
                RawCaller second = proxy.connect()) {
            first.send(ProxyFixture.request("POST", "/once/1", 3000));
            TimeUnit.MILLISECONDS.sleep(300);
            long startNanos = System.nanoTime();
            second.send(ProxyFixture.request("POST", "/once/2", 3000));
            assertThat(second.reply().status()).isEqualTo(200);
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                    .isLessThan(400);
            assertThat(first.reply().status()).isEqualTo(200);
        }
    }

    @Test
    void laterRequestsDoNotWaitForAConnectionThatIsKnownToFail() throws IOException {
        assertThat(proxy.call("POST", "/once/first").status()).isEqualTo(200);
        for (int i = 0; i < 20; i++) {
            long startNanos = System.nanoTime();
            assertThat(proxy.call("POST", "/once/" + i).status()).isEqualTo(200);
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                    .isLessThan(400);
        }
    }
}
