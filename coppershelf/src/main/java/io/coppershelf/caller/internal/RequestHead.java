package io.coppershelf.caller.internal;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The validated head of a caller's request.
 *
 * @param method the HTTP method
 * @param path the path, not decoded
 * @param target the path and query, not decoded
 * @param headers all headers
 * @param deadline the time limit that the caller sets
 * @param idempotencyKey the caller's idempotency key
 * @param length the stated length of the body in bytes, empty if the body is chunked
 */
record RequestHead(
        String method,
        String path,
        String target,
        Headers headers,
        Optional<Duration> deadline,
        Optional<String> idempotencyKey,
        OptionalLong length) {
    private static final int HEADER_LINE_OVERHEAD_BYTES = 4;
    private static final int MAX_KEY_LENGTH = 200;
    private static final int MAX_DEADLINE_DIGITS = 9;

    /**
     * Reads the head of an exchange.
     *
     * @throws CoppershelfException with the error kind to report to the caller
     */
    static RequestHead of(HttpExchange exchange, int largestHead) {
        Headers headers = exchange.getRequestHeaders();
        URI uri = exchange.getRequestURI();
        checkSize(uri, headers, largestHead);
        checkProtocol(exchange.getProtocol());
        headers.forEach(RequestHead::checkHeader);
        String path = checkedPath(uri);
        String target = uri.getRawQuery() == null ? path : path + "?" + uri.getRawQuery();
        return new RequestHead(
                exchange.getRequestMethod(),
                path,
                target,
                headers,
                deadline(headers),
                idempotencyKey(headers),
                length(headers));
    }

    private static void checkSize(URI uri, Headers headers, int largestHead) {
        long size = uri.toString().length();
        for (Map.Entry<String, List<String>> entry : headers.entrySet()) {
            for (String value : entry.getValue()) {
                size += (long) entry.getKey().length() + value.length() + HEADER_LINE_OVERHEAD_BYTES;
            }
        }
        if (size > largestHead) {
            throw CoppershelfException.of(
                    ErrorKind.HEAD_TOO_LARGE, "expected a head of at most " + largestHead + " bytes but got " + size);
        }
    }

    private static void checkProtocol(String protocol) {
        if (!protocol.equals("HTTP/1.1") && !protocol.equals("HTTP/1.0")) {
            throw malformed("expected a request line that ends with HTTP/1.1");
        }
    }

    private static void checkHeader(String name, List<String> values) {
        boolean isNameValid = !name.isEmpty() && name.chars().allMatch(RequestHead::isTokenChar);
        boolean areValuesValid = values.stream().allMatch(RequestHead::isVisible);
        if (!isNameValid || !areValuesValid) {
            throw malformed("expected headers of visible ASCII characters");
        }
    }

    private static boolean isTokenChar(int c) {
        return (Character.isLetterOrDigit(c) && c < 0x80) || "!#$%&'*+-.^_`|~".indexOf(c) >= 0;
    }

    private static boolean isVisible(String value) {
        return value.chars().allMatch(c -> (c >= 0x20 && c < 0x7f) || c == '\t');
    }

    private static String checkedPath(URI uri) {
        String path = uri.getRawPath();
        if (path == null || !path.startsWith("/")) {
            throw malformed("expected a target with an absolute path");
        }
        for (String segment : path.substring(1).split("/", -1)) {
            checkSegment(segment);
        }
        return path;
    }

    private static void checkSegment(String segment) {
        String decoded = URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8);
        boolean isDots = decoded.equals(".") || decoded.equals("..");
        boolean hasEncodedSlash = decoded.indexOf('/') >= 0 || decoded.indexOf('\\') >= 0;
        boolean hasControl = decoded.chars().anyMatch(Character::isISOControl);
        if (isDots || hasEncodedSlash || hasControl) {
            throw malformed("expected a path without dot segments, encoded slashes and control characters");
        }
    }

    private static Optional<Duration> deadline(Headers headers) {
        Optional<String> stated = single(headers, CallerHeaders.DEADLINE_MILLIS, ErrorKind.INVALID_DEADLINE);
        if (stated.isEmpty()) {
            return Optional.empty();
        }
        String value = stated.get();
        boolean isNumber = value.chars().allMatch(c -> c >= '0' && c <= '9');
        if (!isNumber || value.isEmpty() || value.length() > MAX_DEADLINE_DIGITS || Long.parseLong(value) == 0) {
            throw CoppershelfException.of(
                    ErrorKind.INVALID_DEADLINE,
                    "expected Coppershelf-Deadline-Ms to be whole milliseconds from 1 to 999999999");
        }
        return Optional.of(Duration.ofMillis(Long.parseLong(value)));
    }

    private static Optional<String> idempotencyKey(Headers headers) {
        Optional<String> key = single(headers, CallerHeaders.IDEMPOTENCY_KEY, ErrorKind.INVALID_KEY);
        boolean isInvalid = key.filter(value -> value.isEmpty()
                        || value.length() > MAX_KEY_LENGTH
                        || value.chars().anyMatch(c -> c <= 0x20 || c >= 0x7f))
                .isPresent();
        if (isInvalid) {
            throw CoppershelfException.of(
                    ErrorKind.INVALID_KEY, "expected Idempotency-Key to be 1 to 200 visible ASCII characters");
        }
        return key;
    }

    private static OptionalLong length(Headers headers) {
        Optional<String> coding = single(headers, "Transfer-Encoding", ErrorKind.MALFORMED_REQUEST);
        Optional<String> stated = single(headers, "Content-Length", ErrorKind.MALFORMED_REQUEST);
        if (coding.isPresent()) {
            boolean isChunked = coding.get().toLowerCase(Locale.ROOT).equals("chunked");
            if (!isChunked || stated.isPresent()) {
                throw malformed("expected either Content-Length or Transfer-Encoding: chunked");
            }
            return OptionalLong.empty();
        }
        return OptionalLong.of(stated.map(RequestHead::parsedLength).orElse(0L));
    }

    private static long parsedLength(String value) {
        if (value.isEmpty() || value.length() > 18 || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw malformed("expected Content-Length to be a number");
        }
        return Long.parseLong(value);
    }

    private static Optional<String> single(Headers headers, String name, ErrorKind error) {
        List<String> values = headers.get(name);
        if (values == null) {
            return Optional.empty();
        }
        if (values.size() != 1) {
            throw CoppershelfException.of(error, "expected " + name + " once but got it " + values.size() + " times");
        }
        return Optional.of(values.get(0).strip());
    }

    private static CoppershelfException malformed(String message) {
        return CoppershelfException.of(ErrorKind.MALFORMED_REQUEST, message);
    }
}
