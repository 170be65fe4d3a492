package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.coppershelf.eventlog.EventLog;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against datagrams that are lost, mixed up or block the socket, as its buffers are used for all of them. */
final class MeshSocketTest {
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final BlockingQueue<MeshMessage> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> logged = new LinkedBlockingQueue<>();
    private final EventLog log = (importance, event, fields) -> logged.add(event);
    private InetSocketAddress address;
    private MeshSocket sender;

    @BeforeEach
    void open() throws SocketException {
        address = freeAddress();
        MeshSocket.open(loop, address, (from, message) -> received.add(message), log);
        sender = MeshSocket.open(loop, freeAddress(), (from, message) -> {}, log);
    }

    @AfterEach
    void stop() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Test
    void messagesArriveUnchangedAndInOrderWhenAShortOneFollowsALongOne() throws InterruptedException {
        MeshMessage longer = new MeshMessage.ServerSummary(List.of(-4L, 7L), List.of(0, 3), List.of(2, 995));
        MeshMessage shorter = new MeshMessage.ServerLeaving("i-1@5");

        loop.execute(() -> {
            sender.send(address, longer);
            sender.send(List.of(address, address), shorter);
        });

        assertThat(next()).isEqualTo(longer);
        assertThat(next()).isEqualTo(shorter);
        assertThat(next()).isEqualTo(shorter);
    }

    @Test
    void aDatagramThatIsNoMessageIsLoggedAndThoseAfterItArrive() throws InterruptedException {
        loop.execute(() -> {
            sender.send(List.of(address), new byte[] {4, 4, (byte) 0x92});
            sender.send(address, new MeshMessage.SummaryRequest());
        });

        assertThat(next()).isEqualTo(new MeshMessage.SummaryRequest());
        assertThat(logged).containsExactly("mesh-message-unreadable");
    }

    @Test
    void aReceiverThatCannotBeReachedDoesNotKeepTheMessageFromTheOthers() throws InterruptedException {
        InetSocketAddress unresolved = InetSocketAddress.createUnresolved("nowhere.invalid", 7);

        loop.execute(() -> sender.send(
                List.of(unresolved, new InetSocketAddress("127.0.0.1", 0), address), new MeshMessage.SummaryRequest()));

        assertThat(next()).isEqualTo(new MeshMessage.SummaryRequest());
    }

    @Test
    void anAddressInUseIsReported() {
        assertThrows(UncheckedIOException.class, () -> MeshSocket.open(loop, address, (from, message) -> {}, log));
    }

    private MeshMessage next() throws InterruptedException {
        return received.poll(10, TimeUnit.SECONDS);
    }

    private static InetSocketAddress freeAddress() throws SocketException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }
}
