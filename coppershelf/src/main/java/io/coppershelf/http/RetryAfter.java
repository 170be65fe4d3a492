package io.coppershelf.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;

/** Reads the delay of a {@code Retry-After} header that is given in seconds; a date is ignored. */
public final class RetryAfter {
    private static final double MILLIS_PER_SECOND = 1000;

    private RetryAfter() {}

    /** Returns the delay, empty if there is none above zero. */
    public static Optional<Duration> parse(HttpHeaders headers) {
        return Optional.ofNullable(headers.get(HttpHeaderNames.RETRY_AFTER))
                .flatMap(DecimalHeader::parse)
                .map(seconds -> Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND)))
                .filter(delay -> !delay.isZero());
    }
}
