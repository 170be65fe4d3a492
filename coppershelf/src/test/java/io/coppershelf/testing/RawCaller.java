package io.coppershelf.testing;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A caller over a raw socket. */
public final class RawCaller implements Closeable {
    private static final int READ_TIMEOUT_MILLIS = 30_000;

    private final Socket socket;

    private RawCaller(Socket socket) {
        this.socket = socket;
    }

    /** Connects to the address. */
    public static RawCaller connect(InetSocketAddress address) throws IOException {
        return connectFrom(new InetSocketAddress(0), address);
    }

    /** Connects to the address from a local one. */
    public static RawCaller connectFrom(InetSocketAddress local, InetSocketAddress address) throws IOException {
        Socket socket = new Socket();
        socket.bind(local);
        socket.connect(address);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return new RawCaller(socket);
    }

    /** Sends a request and returns its complete answer. */
    public static Reply exchange(InetSocketAddress address, String request) throws IOException {
        try (RawCaller caller = connect(address)) {
            caller.send(request);
            return caller.reply();
        }
    }

    /** Sends raw text; line ends are converted from LF to CRLF. */
    public void send(String text) throws IOException {
        socket.getOutputStream().write(text.replace("\n", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Sends raw text to a server that may close the connection in the meantime. */
    public void sendIgnoringErrors(String text) {
        try {
            send(text);
        } catch (IOException e) {
            // The test then reads what was received before the connection was lost.
        }
    }

    /** Reads one answer by its stated length. */
    public Reply reply() throws IOException {
        Reply withoutBody = head();
        if (withoutBody.head().isEmpty()) {
            return withoutBody;
        }
        int length = Integer.parseInt(withoutBody.header("content-length"));
        byte[] body = socket.getInputStream().readNBytes(length);
        return new Reply(withoutBody.head(), new String(body, StandardCharsets.UTF_8));
    }

    /** Reads one answer, an empty one if the connection is lost. */
    public Reply replyOrEmpty() {
        try {
            return reply();
        } catch (IOException e) {
            return new Reply("", "");
        }
    }

    /** Reads one answer and returns how many bytes of its body were received before the connection ended. */
    public int readBodyLength(int length) throws IOException {
        Reply unused = head();
        try {
            return socket.getInputStream().readNBytes(length).length;
        } catch (IOException e) {
            return 0;
        }
    }

    /** Reads the head of one answer, empty if the connection is closed instead. */
    public Reply head() throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = socket.getInputStream().read();
            if (b < 0) {
                return new Reply("", "");
            }
            head.append((char) b);
        }
        return new Reply(head.toString(), "");
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** An answer as received; empty if the connection was closed instead. */
    public record Reply(String head, String body) {
        public int status() {
            return Integer.parseInt(head.split(" ", 3)[1]);
        }

        /** Returns the value of a header, empty string if there is none. */
        public String header(String name) {
            for (String line : head.split("\r\n", -1)) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).strip();
                }
            }
            return "";
        }
    }
}
