package io.coppershelf.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
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
    private final End end;

    /** How the connection ends after the bytes. */
    enum End {
        RESET,
        /** The server ends its output, reads nothing more, and resets the connection. */
        OUTPUT_THEN_RESET,
        /** The server ends its output and reads the rest of the request. */
        OUTPUT_THEN_READ
    }

    private ResettingServer(ServerSocket listener, String answer, End end) {
        this.listener = listener;
        this.answer = answer;
        this.end = end;
    }

    static ResettingServer start(String answer) throws IOException {
        return start(answer, End.RESET);
    }

    static ResettingServer start(String answer, End end) throws IOException {
        ResettingServer server =
                new ResettingServer(new ServerSocket(0, 5, InetAddress.getLoopbackAddress()), answer, end);
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
                if (end != End.RESET) {
                    socket.shutdownOutput();
                }
                Thread.sleep(READ_DELAY_MILLIS);
                if (end == End.OUTPUT_THEN_READ) {
                    socket.getInputStream().transferTo(OutputStream.nullOutputStream());
                } else {
                    socket.setSoLinger(true, 0);
                }
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
