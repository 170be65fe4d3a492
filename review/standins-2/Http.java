import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads the heads of HTTP/1.1 messages. */
final class Http {
    private Http() {}

    /** A start line and the header fields, whose names are in lower case. */
    record Head(String startLine, Map<String, String> fields) {
        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        int length() {
            return Integer.parseInt(fields.getOrDefault("content-length", "0"));
        }
    }

    /** Returns the next head, null if the peer closed the connection before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String startLine = readLine(in, true);
        if (startLine == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        for (String line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return new Head(startLine, fields);
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (mayEnd && line.length() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a head");
            }
            if (next == '\n') {
                return line.toString();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
    }

    /** Reads and discards a body. */
    static void skipBody(InputStream in, int length) throws IOException {
        byte[] buffer = new byte[64 * 1024];
        int left = length;
        while (left > 0) {
            int count = in.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) {
                throw new EOFException("the connection ended within a body");
            }
            left -= count;
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
