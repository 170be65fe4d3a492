package io.coppershelf.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

/** A server that answers requests without a body, and stops reading where a body begins. */
final class UnreadUploadServer implements Closeable {
    private static final int RECEIVE_BUFFER_BYTES = 4096;

    private final ServerSocket listener;
    private final CountDownLatch closed = new CountDownLatch(1);

    private UnreadUploadServer(ServerSocket listener) {
        this.listener = listener;
    }

    static UnreadUploadServer start() throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        UnreadUploadServer server = new UnreadUploadServer(listener);
        startThread(server::accept);
        return server;
    }

    int port() {
        return listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                startThread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            for (String head = readHead(socket.getInputStream()); !head.isEmpty(); ) {
                if (head.startsWith("POST")) {
                    closed.await();
                    return;
                }
                String answer = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Length: 5\r\n\r\nsmall";
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                head = readHead(socket.getInputStream());
            }
        } catch (IOException e) {
            // The proxy has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return "";
            }
            head.append((char) b);
        }
        return head.toString();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "unread-upload-server");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        closed.countDown();
        listener.close();
    }
}
