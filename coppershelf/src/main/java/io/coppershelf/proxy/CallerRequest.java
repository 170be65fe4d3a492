package io.coppershelf.proxy;

import io.coppershelf.outcome.ErrorKind;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Optional;

/**
 * A complete request of a caller.
 *
 * @param caller the IP address of the caller
 * @param relay the VM that handed the request to this one, empty if it came from the caller itself
 * @param method the method
 * @param uri path and query as received
 * @param headers the headers as received
 * @param body the complete body
 * @param readAtNanos the monotonic time at which its head was complete
 * @param isKeepAlive whether the caller keeps the connection open
 */
record CallerRequest(
        String caller,
        Optional<Relay> relay,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        long readAtNanos,
        boolean isKeepAlive) {
    /**
     * A VM that received the request and reaches no server.
     *
     * @param vm its IP address
     * @param servers the number of servers to which the request may still be sent
     */
    record Relay(String vm, int servers) {}

    /**
     * Returns the request that was received.
     *
     * @param sender the IP address that it was received from
     * @param isRelayed whether another VM handed it to this one
     */
    static CallerRequest of(HttpRequest received, byte[] body, String sender, boolean isRelayed, long readAtNanos) {
        HttpHeaders headers = received.headers();
        String caller = sender;
        Optional<Relay> relay = Optional.empty();
        if (isRelayed) {
            caller = headers.get(RelayHeaders.CALLER, "");
            relay = Optional.of(new Relay(sender, RelayHeaders.servers(headers, 1)));
            RelayHeaders.remove(headers);
        }
        return new CallerRequest(
                caller,
                relay,
                received.method(),
                received.uri(),
                headers,
                body,
                readAtNanos,
                HttpUtil.isKeepAlive(received));
    }

    /** Returns a request in place of one that can't be read completely. */
    static CallerRequest unreadable(String sender, boolean isRelayed) {
        Optional<Relay> relay = isRelayed ? Optional.of(new Relay(sender, 0)) : Optional.empty();
        return new CallerRequest(sender, relay, HttpMethod.GET, "", new DefaultHttpHeaders(), new byte[0], 0, false);
    }

    /** Returns the error of a request whose head or body can't be decoded. */
    static ErrorKind decodingError(Throwable cause) {
        boolean isTooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        return isTooLong ? ErrorKind.HEAD_TOO_LARGE : ErrorKind.MALFORMED_REQUEST;
    }
}
