package io.coppershelf.backend.internal;

import io.coppershelf.backend.BackendRequest;
import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import java.net.http.HttpHeaders;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.ResponseInfo;
import java.util.Optional;

/**
 * Checks the head of an answer before its body is read: the answer must belong to the attempt, state its length, and
 * not be too large.
 */
final class AnswerHandler implements BodyHandler<byte[]> {
    private final BackendRequest request;
    private volatile Optional<BoundedBody> body = Optional.empty();

    AnswerHandler(BackendRequest request) {
        this.request = request;
    }

    /** Returns whether the head of the answer has been received. */
    boolean isHeadReceived() {
        return body.isPresent();
    }

    /** Stops reading the body, which closes its connection; does nothing before the head has been received. */
    void abandon() {
        body.ifPresent(BoundedBody::abandon);
    }

    @Override
    public BodySubscriber<byte[]> apply(ResponseInfo info) {
        BoundedBody created = rejection(info)
                .map(rejection -> BoundedBody.rejecting(rejection))
                .orElseGet(() -> BoundedBody.upTo(request.largestAnswer()));
        body = Optional.of(created);
        return created;
    }

    private Optional<CoppershelfException> rejection(ResponseInfo info) {
        HttpHeaders headers = info.headers();
        if (!ServerProtocol.belongsTo(headers, request.attemptId())) {
            return Optional.of(foreign(headers));
        }
        if (!hasStatedLength(info)) {
            return Optional.of(CoppershelfException.of(
                    ErrorKind.ANSWER_TRUNCATED,
                    "the answer does not state its length exactly once, so a truncated answer could not be detected"));
        }
        if (headers.firstValueAsLong("content-length").orElse(0) > request.largestAnswer() && !isHead()) {
            return Optional.of(BoundedBody.tooLarge(request.largestAnswer()));
        }
        return Optional.empty();
    }

    private CoppershelfException foreign(HttpHeaders headers) {
        String actual = headers.firstValue(ServerProtocol.ATTEMPT_ID).orElse("none");
        return CoppershelfException.of(
                ErrorKind.ANSWER_FOREIGN,
                "expected an answer to attempt " + request.attemptId() + " but got one to " + actual);
    }

    private boolean hasStatedLength(ResponseInfo info) {
        if (isHead() || info.statusCode() == 204 || info.statusCode() == 304) {
            return true;
        }
        boolean isChunked = info.headers()
                .firstValue("transfer-encoding")
                .filter(value -> value.equalsIgnoreCase("chunked"))
                .isPresent();
        int lengths = info.headers().allValues("content-length").size();
        return isChunked ? lengths == 0 : lengths == 1;
    }

    private boolean isHead() {
        return request.method().equals("HEAD");
    }
}
