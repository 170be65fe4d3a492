package io.coppershelf.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Callers that read their answers slowly, all on one thread. */
final class SlowCallers implements AutoCloseable {
    private static final int BYTES_PER_SECOND = 1024;
    private static final int RECEIVE_BUFFER_BYTES = 4096;

    /** Keeps the servers of the test from refusing connections; they accept 50 at a time. */
    private static final long START_INTERVAL_MILLIS = 5;

    private final List<SocketChannel> channels = new ArrayList<>();
    private final Thread reader = new Thread(this::read, "slow-callers");

    /** Connects callers that each request the path, with their number at its end. */
    static SlowCallers start(InetSocketAddress address, int count, String path)
            throws IOException, InterruptedException {
        SlowCallers callers = new SlowCallers();
        for (int i = 0; i < count; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            channel.connect(address);
            String request = ProxyFixture.request("GET", path + i, 2400).replace("\n", "\r\n");
            channel.write(ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)));
            channel.configureBlocking(false);
            callers.channels.add(channel);
            Thread.sleep(START_INTERVAL_MILLIS);
        }
        callers.reader.setDaemon(true);
        callers.reader.start();
        return callers;
    }

    int count() {
        return channels.size();
    }

    private void read() {
        try {
            while (true) {
                for (SocketChannel channel : channels) {
                    readSome(channel);
                }
                Thread.sleep(1000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void readSome(SocketChannel channel) {
        try {
            channel.read(ByteBuffer.allocate(BYTES_PER_SECOND));
        } catch (IOException e) {
            // The proxy may close the connection while memory is short.
        }
    }

    @Override
    public void close() throws IOException {
        reader.interrupt();
        for (SocketChannel channel : channels) {
            channel.close();
        }
    }
}
