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

/** Collects a body up to a limit. A body that is refused or too large is not read on, which closes its connection. */
final class BoundedBody implements BodySubscriber<byte[]> {
    private final CompletableFuture<byte[]> whole = new CompletableFuture<>();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final Optional<CoppershelfException> refusal;
    private final int limit;
    private volatile Subscription subscription;

    private BoundedBody(Optional<CoppershelfException> refusal, int limit) {
        this.refusal = refusal;
        this.limit = limit;
    }

    /** Returns a subscriber that takes no more than the given number of bytes. */
    static BoundedBody upTo(int limit) {
        return new BoundedBody(Optional.empty(), limit);
    }

    /** Returns a subscriber that reads nothing and fails. */
    static BoundedBody rejecting(CoppershelfException refusal) {
        return new BoundedBody(Optional.of(refusal), 0);
    }

    static CoppershelfException tooLarge(int limit) {
        return CoppershelfException.of(
                ErrorKind.ANSWER_TOO_LARGE, "the answer is larger than the " + limit + " bytes of its request kind");
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return whole;
    }

    @Override
    public void onSubscribe(Subscription newSubscription) {
        subscription = newSubscription;
        if (refusal.isPresent()) {
            refuse(refusal.get());
            return;
        }
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        for (ByteBuffer buffer : buffers) {
            if (whole.isDone()) {
                return;
            }
            take(buffer);
        }
    }

    private void take(ByteBuffer buffer) {
        if (bytes.size() + (long) buffer.remaining() > limit) {
            refuse(tooLarge(limit));
            return;
        }
        byte[] chunk = new byte[buffer.remaining()];
        buffer.get(chunk);
        bytes.writeBytes(chunk);
    }

    private void refuse(CoppershelfException reason) {
        whole.completeExceptionally(reason);
        subscription.cancel();
    }

    /** Stops reading, if the body is not whole yet; its connection is closed and no other. */
    void abandon() {
        Optional<Subscription> reading = Optional.ofNullable(subscription);
        boolean isUnfinished = whole.completeExceptionally(CoppershelfException.of(
                ErrorKind.DEADLINE_PASSED, "the try was given up while its answer was on its way"));
        if (isUnfinished) {
            reading.ifPresent(Subscription::cancel);
        }
    }

    @Override
    public void onError(Throwable failure) {
        whole.completeExceptionally(failure);
    }

    @Override
    public void onComplete() {
        whole.complete(bytes.toByteArray());
    }
}
