package io.coppershelf.quota;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The tokens of one tenant that a granter lends. Not thread-safe. */
final class GranterTenant {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    /** Requests a second that a granter answers for one tenant above its cap; bounds the messages of a large fleet. */
    private static final double REQUESTS_PER_SECOND = 20;
    /** Longest time until a borrower that got no tokens asks again. */
    private static final long MAX_RETRY_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Time in which a borrower without tokens counts as one that will ask again. */
    private static final long DENIAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long BORROWER_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final boolean isReserve;
    private final TokenBucket bucket;
    private final Map<InetSocketAddress, Answer> answers = new HashMap<>();
    private long nextFreeNanos;
    private long usedNanos;

    GranterTenant(Granter.Share share, long emptyNanos) {
        isReserve = share.isReserve();
        bucket = new TokenBucket(share.perSecond(), share.capacity(), emptyNanos);
        nextFreeNanos = emptyNanos;
    }

    boolean isReserve() {
        return isReserve;
    }

    boolean isIdle(long nowNanos, long idleNanos) {
        return nowNanos - usedNanos > idleNanos;
    }

    /** Adapts the bucket to a changed share. */
    void use(Granter.Share share, long nowNanos) {
        bucket.change(share.perSecond(), share.capacity(), nowNanos);
    }

    /** Answers a request; a repeated one receives the same answer. */
    QuotaMessage.Grant answer(InetSocketAddress borrower, QuotaMessage.Request request, long version, long nowNanos) {
        usedNanos = nowNanos;
        Answer last = answers.get(borrower);
        if (last != null && last.grant().number() == request.number()) {
            return last.grant();
        }
        bucket.giveBack(request.returned(), nowNanos);
        int granted = bucket.take(request.wanted(), nowNanos);
        boolean isDenied = granted == 0 && request.wanted() > 0;
        int retryMillis = isDenied ? retryMillis(request.wanted(), nowNanos) : 0;
        QuotaMessage.Grant grant =
                new QuotaMessage.Grant(request.tenant(), version, request.number(), granted, retryMillis);
        answers.values().removeIf(answer -> nowNanos - answer.sentNanos() > BORROWER_NANOS);
        answers.put(borrower, new Answer(grant, nowNanos));
        return grant;
    }

    /** Gives each borrower without tokens a place in a queue for the next ones. */
    private int retryMillis(int wanted, long nowNanos) {
        long firstNanos = nowNanos + bucket.refillNanos(bucket.missing());
        nextFreeNanos = Math.max(nextFreeNanos, firstNanos);
        long waitNanos = nextFreeNanos - nowNanos;
        nextFreeNanos += bucket.refillNanos(wanted);
        nextFreeNanos = Math.min(nextFreeNanos, nowNanos + MAX_RETRY_NANOS);
        long denied = answers.values().stream()
                .filter(answer -> answer.grant().retryAfterMillis() > 0)
                .filter(answer -> nowNanos - answer.sentNanos() < DENIAL_NANOS)
                .count();
        long pacedNanos = (long) (denied / REQUESTS_PER_SECOND * TimeUnit.SECONDS.toNanos(1));
        long retryNanos = Math.min(MAX_RETRY_NANOS, Math.max(waitNanos, pacedNanos));
        return (int) Math.max(1, (retryNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
    }

    private record Answer(QuotaMessage.Grant grant, long sentNanos) {}
}
