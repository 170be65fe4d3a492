package io.coppershelf.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Finds ports of the loopback interface on which nothing listens. */
public final class FreePorts {
    private FreePorts() {}

    /** Returns an address on which nothing listens. */
    public static InetSocketAddress address() {
        try (ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        } catch (IOException e) {
            throw new UncheckedIOException("no free port", e);
        }
    }
}
