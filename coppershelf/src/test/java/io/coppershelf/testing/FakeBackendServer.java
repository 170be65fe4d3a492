package io.coppershelf.testing;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/** A backend server over raw sockets, whose answers are written byte by byte by a script. */
public final class FakeBackendServer implements Closeable {
    private static final byte CLOSE_MARKER = 0;

    private final ServerSocket listener;
    private final Script script;
    private final List<Received> received = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Received> arrivals = new LinkedBlockingQueue<>();
    private final BlockingQueue<Integer> closedConnections = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Thread acceptor = new Thread(this::accept, "fake-backend");

    private FakeBackendServer(ServerSocket listener, Script script) {
        this.listener = listener;
        this.script = script;
    }

    /** Starts a server with the given script. */
    public static FakeBackendServer start(Script script) throws IOException {
        FakeBackendServer server =
                new FakeBackendServer(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), script);
        server.acceptor.start();
        return server;
    }

    /** Ends the server as a crash does: it refuses new connections when the open ones are closed. */
    public void crash() throws IOException {
        listener.close();
        try {
            // The port accepts connections until the accepting thread has returned.
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    /** Returns an answer after which the connection is closed. */
    public static byte[] thenClose(String answer) {
        return (answer + (char) CLOSE_MARKER).getBytes(StandardCharsets.UTF_8);
    }

    public int port() {
        return listener.getLocalPort();
    }

    /** Writes bytes that answer no request to a connection. */
    public void write(int connection, byte[] bytes) throws IOException {
        sockets.get(connection).getOutputStream().write(bytes);
    }

    /** Returns all requests received, cancellations and probes included. */
    public List<Received> received() {
        return received;
    }

    /** Returns the requests received, without cancellations and probes. */
    public List<Received> workRequests() {
        return received.stream()
                .filter(request -> !request.target().startsWith("/coppershelf/"))
                .toList();
    }

    /** Waits for the next request. */
    public Received awaitRequest() throws InterruptedException {
        return arrivals.take();
    }

    /** Waits until a connection is closed by the other side and returns its number, from 0. */
    public int awaitClose() throws InterruptedException {
        return closedConnections.take();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                sockets.add(socket);
                int number = sockets.size() - 1;
                new Thread(() -> serve(socket, number), "fake-backend-connection").start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket, int number) {
        try (socket) {
            while (true) {
                Received request = read(socket.getInputStream(), number);
                received.add(request);
                arrivals.add(request);
                byte[] answer = script.answer(request);
                boolean closesConnection = answer.length == 0 || answer[answer.length - 1] == CLOSE_MARKER;
                socket.getOutputStream()
                        .write(answer, 0, answer.length - (answer.length > 0 && closesConnection ? 1 : 0));
                socket.getOutputStream().flush();
                if (closesConnection) {
                    return;
                }
            }
        } catch (IOException | UncheckedIOException e) {
            closedConnections.add(number);
        }
    }

    private static Received read(InputStream in, int connection) throws IOException {
        String[] line = readLine(in).split(" ", -1);
        Map<String, String> headers = new TreeMap<>();
        for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.merge(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).strip(),
                    (first, second) -> first + ", " + second);
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Received(connection, line[0], line[1], headers, new String(body, StandardCharsets.UTF_8));
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("closed by the other side");
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.UTF_8).strip();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Returns the raw answer to a request; an empty one closes the connection. */
    @FunctionalInterface
    public interface Script {
        byte[] answer(Received request) throws IOException;
    }

    /** A request as the server read it; header names are in lower case, and the values of equal names are joined. */
    public record Received(int connection, String method, String target, Map<String, String> headers, String body) {
        public String attemptId() {
            return headers.getOrDefault("coppershelf-try-id", "none");
        }

        /** Returns a complete answer to this request, with additional header lines. */
        public byte[] answer(int status, String body, String... headerLines) {
            return rawAnswer(
                    status,
                    body,
                    "Coppershelf-Try-Id: " + attemptId(),
                    "Content-Length: " + body.length(),
                    String.join("\r\n", headerLines));
        }

        /** Returns an answer with only the given header lines. */
        public byte[] rawAnswer(int status, String body, String... headerLines) {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            for (String line : headerLines) {
                head.append(line.isEmpty() ? "" : line + "\r\n");
            }
            return (head + "\r\n" + body).getBytes(StandardCharsets.UTF_8);
        }
    }
}
