package io.coppershelf.caller.internal;

import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import java.io.IOException;
import java.io.InputStream;
import java.util.OptionalLong;

/** Reads the complete body of a caller's request. */
final class RequestBody {
    private RequestBody() {}

    /**
     * Reads the body.
     *
     * @param length the stated length in bytes, empty if the body is chunked
     * @param limit the maximum length in bytes
     * @throws CoppershelfException with {@link ErrorKind#BODY_TOO_LARGE} or {@link ErrorKind#MALFORMED_REQUEST}
     */
    static byte[] read(InputStream in, OptionalLong length, int limit) {
        if (length.isPresent() && length.getAsLong() > limit) {
            throw tooLarge(limit);
        }
        byte[] body = readUpTo(in, limit);
        if (length.isPresent() && body.length != length.getAsLong()) {
            throw truncated();
        }
        return body;
    }

    private static byte[] readUpTo(InputStream in, int limit) {
        try {
            byte[] body = in.readNBytes(limit + 1);
            if (body.length > limit) {
                throw tooLarge(limit);
            }
            return body;
        } catch (IOException e) {
            throw CoppershelfException.causedBy(ErrorKind.MALFORMED_REQUEST, "the body could not be read whole", e);
        }
    }

    private static CoppershelfException tooLarge(int limit) {
        return CoppershelfException.of(ErrorKind.BODY_TOO_LARGE, "expected a body of at most " + limit + " bytes");
    }

    private static CoppershelfException truncated() {
        return CoppershelfException.of(ErrorKind.MALFORMED_REQUEST, "the body ended before its stated length");
    }
}
