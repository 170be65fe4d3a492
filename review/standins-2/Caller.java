import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A consumer with one kept connection, which it opens again when the gateway has closed it. Not thread-safe. */
final class Caller implements AutoCloseable {
    private static final int CONNECT_MILLIS = 1000;

    private final InetSocketAddress gateway;
    private Socket socket;
    private BufferedInputStream in;

    Caller(InetSocketAddress gateway) {
        this.gateway = gateway;
    }

    /**
     * How a request ended.
     *
     * @param status the status, 0 if the connection ended or no answer came in time
     * @param wasKept whether an earlier request of this consumer was answered on the same connection
     * @param detail the body, or why there is no answer
     */
    record Outcome(int status, boolean wasKept, String detail) {
        boolean isClosed() {
            return status == 0 && !detail.contains("timed out") && !detail.startsWith("no connection");
        }
    }

    boolean isOpen() {
        return socket != null;
    }

    /** Opens the connection unless it is open. */
    void open() throws IOException {
        if (socket == null) {
            Socket opened = new Socket();
            opened.connect(gateway, CONNECT_MILLIS);
            opened.setTcpNoDelay(true);
            socket = opened;
            in = new BufferedInputStream(opened.getInputStream());
        }
    }

    /** Sends a request and reads its answer. */
    Outcome call(String method, String path, String id, int deadlineMillis, String fields, byte[] body) {
        boolean wasKept = socket != null;
        try {
            open();
        } catch (IOException e) {
            return new Outcome(0, false, "no connection: " + e.getMessage());
        }
        try {
            send(method, path, id, deadlineMillis, fields, body);
            socket.setSoTimeout(deadlineMillis);
            Http.Head head = Http.readHead(in);
            if (head == null) {
                throw new IOException("closed without an answer");
            }
            int status = Integer.parseInt(head.startLine().split(" ", 3)[1]);
            byte[] answer = in.readNBytes(head.length());
            if (answer.length < head.length()) {
                throw new IOException("closed within the answer");
            }
            if (head.field("connection").equalsIgnoreCase("close")) {
                close();
            }
            return new Outcome(status, wasKept, new String(answer, StandardCharsets.ISO_8859_1).strip());
        } catch (IOException e) {
            close();
            return new Outcome(0, wasKept, String.valueOf(e.getMessage()));
        }
    }

    /** Sends a request without reading its answer. */
    void send(String method, String path, String id, int deadlineMillis, String fields, byte[] body)
            throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(Http.bytes(method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id
                + "\r\nRequest-Deadline-Ms: " + deadlineMillis + "\r\n" + fields
                + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n"));
        out.write(body);
        out.flush();
    }

    @Override
    public void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // Nothing is left to close.
            }
            socket = null;
        }
    }
}
