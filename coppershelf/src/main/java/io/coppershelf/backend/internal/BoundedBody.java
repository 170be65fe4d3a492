package io.coppershelf.backend.internal;

import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import java.io.ByteArrayOutputStream;
import java.net.http.HttpResponse.BodySubscriber;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow.Subscription;

/**
 * Collects a body up to a size limit. Reading stops when the body is rejected or too large, which closes its
 * connection.
 */
final class BoundedBody implements BodySubscriber<byte[]> {
    private final CompletableFuture<byte[]> body = new CompletableFuture<>();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final Optional<CoppershelfException> rejection;
    private final int limit;
    private volatile Subscription subscription;

    private BoundedBody(Optional<CoppershelfException> rejection, int limit) {
        this.rejection = rejection;
        this.limit = limit;
    }

    /** Returns a subscriber that accepts at most the given number of bytes. */
    static BoundedBody upTo(int limit) {
        return new BoundedBody(Optional.empty(), limit);
    }

    /** Returns a subscriber that fails with the given exception without reading the body. */
    static BoundedBody rejecting(CoppershelfException rejection) {
        return new BoundedBody(Optional.of(rejection), 0);
    }

    static CoppershelfException tooLarge(int limit) {
        return CoppershelfException.of(
                ErrorKind.ANSWER_TOO_LARGE, "the answer is larger than the " + limit + " bytes of its request kind");
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return body;
    }

    @Override
    public void onSubscribe(Subscription newSubscription) {
        subscription = newSubscription;
        if (rejection.isPresent()) {
            reject(rejection.get());
            return;
        }
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        for (ByteBuffer buffer : buffers) {
            if (body.isDone()) {
                return;
            }
            append(buffer);
        }
    }

    private void append(ByteBuffer buffer) {
        if (bytes.size() + (long) buffer.remaining() > limit) {
            reject(tooLarge(limit));
            return;
        }
        byte[] chunk = new byte[buffer.remaining()];
        buffer.get(chunk);
        bytes.writeBytes(chunk);
    }

    private void reject(CoppershelfException reason) {
        body.completeExceptionally(reason);
        subscription.cancel();
    }

    /** Stops reading if the body is not complete yet; this closes the connection of this exchange only. */
    void abandon() {
        Optional<Subscription> activeSubscription = Optional.ofNullable(subscription);
        boolean isAborted = body.completeExceptionally(CoppershelfException.of(
                ErrorKind.DEADLINE_PASSED, "the attempt was aborted while its answer was being received"));
        if (isAborted) {
            activeSubscription.ifPresent(Subscription::cancel);
        }
    }

    @Override
    public void onError(Throwable failure) {
        body.completeExceptionally(failure);
    }

    @Override
    public void onComplete() {
        body.complete(bytes.toByteArray());
    }
}
