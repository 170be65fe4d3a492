package io.coppershelf.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The lines of an answer by RFC 9112; what a faulty server may have joined of two answers is not accepted. */
final class AnswerSyntax {
    /** Three digits from 100 to 599 (RFC 9110, 15), and any minor version of HTTP/1. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.([0-9]) ([1-5][0-9]{2})(?: (.*))?", Pattern.DOTALL);

    /** Not what a Via field may hold, where the name of a host follows the version. */
    private static final Pattern EMBEDDED_STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9] [0-9]+(?: |$)");

    private static final String PROTOCOL = "HTTP/";
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

    private AnswerSyntax() {}

    /** A status line without its reason phrase. */
    record StatusLine(int minorVersion, int status) {}

    /** A header or trailer field. */
    record Field(String name, String value) {}

    /**
     * Parses a status line.
     *
     * @throws InvalidAnswerException if the line is none
     */
    static StatusLine statusLine(String line) {
        Matcher matcher = STATUS_LINE.matcher(line);
        if (!matcher.matches()) {
            throw new InvalidAnswerException("no status line");
        }
        String reason = matcher.group(3);
        if (reason != null) {
            requireText(reason);
        }
        return new StatusLine(Integer.parseInt(matcher.group(1)), Integer.parseInt(matcher.group(2)));
    }

    /**
     * Parses a field line. White space before the colon is removed, as RFC 9112, 5.1 requires of a proxy; a line that
     * continues the previous one is not accepted.
     *
     * @throws InvalidAnswerException if the line is none
     */
    static Field field(String line) {
        int colon = line.indexOf(':');
        if (colon < 0) {
            throw new InvalidAnswerException("a header line without a colon");
        }
        String name = stripTrailing(line.substring(0, colon));
        if (!isToken(name)) {
            throw new InvalidAnswerException("a header name that is not a token");
        }
        String value = line.substring(colon + 1);
        requireText(value);
        return new Field(name, value.strip());
    }

    /** Returns whether the text contains the start of an answer. */
    static boolean containsStatusLine(String text) {
        return text.contains(PROTOCOL) && EMBEDDED_STATUS_LINE.matcher(text).find();
    }

    private static void requireText(String text) {
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if ((character < ' ' && character != '\t') || character == 0x7f) {
                throw new InvalidAnswerException("a control character in the head");
            }
        }
        if (containsStatusLine(text)) {
            throw new InvalidAnswerException("a status line within another line");
        }
    }

    private static boolean isToken(String text) {
        return !text.isEmpty()
                && text.chars()
                        .allMatch(character -> (character >= 'a' && character <= 'z')
                                || (character >= 'A' && character <= 'Z')
                                || (character >= '0' && character <= '9')
                                || TOKEN_SYMBOLS.indexOf(character) >= 0);
    }

    private static String stripTrailing(String text) {
        int end = text.length();
        while (end > 0 && (text.charAt(end - 1) == ' ' || text.charAt(end - 1) == '\t')) {
            end--;
        }
        return text.substring(0, end);
    }
}
