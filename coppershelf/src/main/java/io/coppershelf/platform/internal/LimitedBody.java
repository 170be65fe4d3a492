package io.coppershelf.platform.internal;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse.BodySubscriber;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow.Subscription;

/** Collects the body of an answer and fails as soon as it exceeds a size limit. */
final class LimitedBody implements BodySubscriber<byte[]> {
    private final int limit;
    private final ByteArrayOutputStream collected = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> body = new CompletableFuture<>();
    private Subscription subscription;

    LimitedBody(int limit) {
        this.limit = limit;
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return body;
    }

    @Override
    public void onSubscribe(Subscription newSubscription) {
        subscription = newSubscription;
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        for (ByteBuffer buffer : buffers) {
            if (collected.size() + buffer.remaining() > limit) {
                subscription.cancel();
                body.completeExceptionally(new OversizedException(limit));
                return;
            }
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            collected.writeBytes(bytes);
        }
    }

    @Override
    public void onError(Throwable failure) {
        body.completeExceptionally(failure);
    }

    @Override
    public void onComplete() {
        body.complete(collected.toByteArray());
    }

    /** The answer is larger than its limit. */
    static final class OversizedException extends IOException {
        private static final long serialVersionUID = 1L;

        private OversizedException(int limit) {
            super("answer is larger than " + limit + " bytes");
        }
    }
}
