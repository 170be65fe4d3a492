package io.coppershelf.backend.internal;

import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import java.net.ConnectException;
import java.net.http.HttpConnectTimeoutException;

/** Finds the error kind of a failed HTTP exchange. */
final class FailureKinds {
    private FailureKinds() {}

    /**
     * Returns the kind.
     *
     * <p>Only a failure to connect proves that nothing was sent.
     *
     * @param isHeadSeen whether the head of the answer had arrived
     */
    static ErrorKind of(Throwable failure, boolean isHeadSeen) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof CoppershelfException coded) {
                return coded.kind();
            }
            if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
                return ErrorKind.NO_SERVER;
            }
        }
        return isHeadSeen ? ErrorKind.ANSWER_TRUNCATED : ErrorKind.SERVER_LOST;
    }
}
