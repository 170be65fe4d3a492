package io.coppershelf.backend.internal;

import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import java.net.ConnectException;
import java.net.http.HttpConnectTimeoutException;

/** Maps the failure of an HTTP exchange to an error kind. */
final class FailureKinds {
    private FailureKinds() {}

    /**
     * Returns the error kind of a failure.
     *
     * <p>Only a failure to connect proves that nothing was sent.
     *
     * @param isHeadReceived whether the head of the answer had been received
     */
    static ErrorKind of(Throwable failure, boolean isHeadReceived) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof CoppershelfException coded) {
                return coded.kind();
            }
            if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
                return ErrorKind.NO_SERVER;
            }
        }
        return isHeadReceived ? ErrorKind.ANSWER_TRUNCATED : ErrorKind.SERVER_LOST;
    }
}
