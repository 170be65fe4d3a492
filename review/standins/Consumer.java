package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A consumer with one connection, which it keeps open for many requests. */
final class Consumer implements AutoCloseable {
    /** An answer; the status is 0 if the connection ended before the answer was complete. */
    static final class Answer {
        final String statusLine;
        final int status;
        final Map<String, String> headers;
        final byte[] body;

        Answer(String statusLine, int status, Map<String, String> headers, byte[] body) {
            this.statusLine = statusLine;
            this.status = status;
            this.headers = headers;
            this.body = body;
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private final Bed bed;
    private final int gateway;
    private final String fields;
    private Socket socket;
    private InputStream in;
    private OutputStream out;

    Consumer(Bed bed, int gateway) {
        this(bed, gateway, "");
    }

    /**
     * Creates a consumer.
     *
     * @param fields further header lines of each request
     */
    Consumer(Bed bed, int gateway, String fields) {
        this.bed = bed;
        this.gateway = gateway;
        this.fields = fields;
    }

    /** Sends a request and awaits its answer. */
    Answer call(String method, String host, String path, String id, int deadlineMillis, byte[] body) {
        try {
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress(bed.ip(gateway), bed.front), 1000);
                in = new BufferedInputStream(socket.getInputStream());
                out = socket.getOutputStream();
            }
            socket.setSoTimeout(deadlineMillis);
            String length = method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n";
            byte[] head = (method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id
                            + "\r\nRequest-Deadline-Ms: " + deadlineMillis + "\r\n" + length + fields
                            + "\r\n")
                    .getBytes(StandardCharsets.UTF_8);
            byte[] all = new byte[head.length + body.length];
            System.arraycopy(head, 0, all, 0, head.length);
            System.arraycopy(body, 0, all, head.length, body.length);
            out.write(all);
            String status = Backend.line(in);
            if (status.isEmpty()) {
                close();
                return new Answer("", 0, Map.of(), new byte[0]);
            }
            Map<String, String> headers = Backend.headers(in);
            byte[] answer = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
            boolean isWhole = answer.length == Integer.parseInt(headers.getOrDefault("content-length", "0"));
            if (!isWhole || headers.getOrDefault("connection", "").equalsIgnoreCase("close")) {
                close();
            }
            return new Answer(status, isWhole ? Integer.parseInt(status.split(" ")[1]) : 0, headers, answer);
        } catch (IOException e) {
            close();
            return new Answer("", 0, Map.of(), new byte[0]);
        }
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // The connection has ended.
        }
        socket = null;
    }
}
