package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of a service, which serves one request at a time on each connection. */
class Backend implements AutoCloseable {
    /** A request as it arrived; the body is read by {@link #readBody}. */
    static final class Request {
        final String method;
        final String path;
        final Map<String, String> headers;
        final InputStream in;

        Request(String method, String path, Map<String, String> headers, InputStream in) {
            this.method = method;
            this.path = path;
            this.headers = headers;
            this.in = in;
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String id() {
            return header("Attempt-Id");
        }

        byte[] readBody() throws IOException {
            String length = header("Content-Length");
            return length.isEmpty() ? new byte[0] : in.readNBytes(Integer.parseInt(length));
        }
    }

    /** Answers requests. */
    interface Handler {
        /** Answers one request; returns whether the connection stays open. */
        boolean handle(Backend server, Request request, Socket socket, OutputStream out) throws Exception;
    }

    final String id;
    final String service;
    final String zone;
    final int slots;
    final long bornMillis = System.currentTimeMillis();
    final AtomicInteger running = new AtomicInteger();
    final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean isClosed;

    Backend(String id, String service, String zone, int slots, Handler handler) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.handler = handler;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Bed.daemon("accept-" + id, this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns the entry in the store. */
    String entry(String state, int seq) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + listener.getLocalPort()
                + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"cold_left_s\":0,\"seq\":" + seq + ",\"born\":" + bornMillis + "}";
    }

    private void accept() {
        while (!isClosed) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Bed.daemon("server-" + id, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Optional<Request> request = read(in);
                if (request.isEmpty()) {
                    return;
                }
                String target = request.get().header("Target-Instance");
                if (!target.isEmpty() && !target.equals(id)) {
                    request.get().readBody();
                    out.write(answer(421, "Misdirected Request", request.get().id(), "Instance-Id: " + id + "\r\n", ""));
                    continue;
                }
                if (!handler.handle(this, request.get(), socket, out)) {
                    return;
                }
            }
        } catch (Exception e) {
            // The caller of this connection has left.
        } finally {
            sockets.remove(socket);
        }
    }

    static byte[] answer(int status, String reason, String attemptId, String headers, String body) {
        return ("HTTP/1.1 " + status + " " + reason + "\r\n" + headers + "Attempt-Id: " + attemptId
                        + "\r\nContent-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    static Optional<Request> read(InputStream in) throws IOException {
        String line = line(in);
        if (line.isEmpty()) {
            return Optional.empty();
        }
        String[] words = line.split(" ", 3);
        Map<String, String> headers = headers(in);
        return Optional.of(new Request(words[0], words[1], headers, in));
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String field = line(in); !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            headers.put(field.substring(0, colon).trim().toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
        }
        return headers;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return bytes.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            bytes.write(next);
        }
        return "";
    }

    @Override
    public void close() {
        isClosed = true;
        try {
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        } catch (IOException e) {
            // The server has ended.
        }
    }
}
