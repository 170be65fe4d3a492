package io.coppershelf.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A server that sends some bytes in answer to a request and then resets the connection. */
final class ResettingServer implements Closeable {
    /** Time for the proxy to read the bytes before the reset, which would discard unread ones. */
    private static final long READ_DELAY_MILLIS = 200;

    private final ServerSocket listener;
    private final String answer;

    private ResettingServer(ServerSocket listener, String answer) {
        this.listener = listener;
        this.answer = answer;
    }

    static ResettingServer start(String answer) throws IOException {
        ResettingServer server = new ResettingServer(new ServerSocket(0, 5, InetAddress.getLoopbackAddress()), answer);
        Thread thread = new Thread(server::accept, "resetting-server");
        thread.setDaemon(true);
        thread.start();
        return server;
    }

    int port() {
        return listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                // A single read returns the complete request of a test.
                int count = socket.getInputStream().read(new byte[4096]);
                socket.getOutputStream()
                        .write(answer.getBytes(StandardCharsets.ISO_8859_1), 0, count < 0 ? 0 : answer.length());
                socket.getOutputStream().flush();
                Thread.sleep(READ_DELAY_MILLIS);
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                return;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
