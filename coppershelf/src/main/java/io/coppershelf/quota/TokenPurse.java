package io.coppershelf.quota;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The tokens of one tenant that a VM holds, and those that it has to return. Not thread-safe. */
final class TokenPurse {
    /** Time after which a token of a refused request is no longer returned: the window has passed. */
    private static final long RETURN_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final String tenant;
    private final Deque<Batch> batches = new ArrayDeque<>();
    private final Map<InetSocketAddress, Integer> returns = new HashMap<>();

    TokenPurse(String tenant) {
        this.tenant = tenant;
    }

    /** Adds granted tokens. */
    void add(InetSocketAddress granter, int count, long expiresNanos) {
        batches.addLast(new Batch(granter, count, expiresNanos));
    }

    /** Takes a token, the oldest first. */
    Optional<Token> take(long nowNanos) {
        expire(nowNanos);
        Batch first = batches.pollFirst();
        if (first == null) {
            return Optional.empty();
        }
        if (first.count() > 1) {
            batches.addFirst(new Batch(first.granter(), first.count() - 1, first.expiresNanos()));
        }
        return Optional.of(new Token(tenant, first.granter(), nowNanos, first.expiresNanos()));
    }

    /** Puts the token of a request back that did not run. */
    void giveBack(Token token, long nowNanos) {
        if (!token.isExpired(nowNanos)) {
            batches.addFirst(new Batch(token.granter(), 1, token.expiresNanos()));
        } else if (nowNanos - token.takenNanos() < RETURN_NANOS) {
            returns.merge(token.granter(), 1, Integer::sum);
        }
    }

    /** Moves expired tokens to those that are returned. */
    void expire(long nowNanos) {
        batches.removeIf(batch -> {
            boolean isExpired = nowNanos - batch.expiresNanos() >= 0;
            if (isExpired) {
                returns.merge(batch.granter(), batch.count(), Integer::sum);
            }
            return isExpired;
        });
    }

    /** Moves all tokens to those that are returned. */
    void discard() {
        batches.forEach(batch -> returns.merge(batch.granter(), batch.count(), Integer::sum));
        batches.clear();
    }

    /** Removes the tokens that are to be returned to a granter. */
    int takeReturns(InetSocketAddress granter) {
        Integer count = returns.remove(granter);
        return count == null ? 0 : count;
    }

    /** Returns a granter to which tokens are to be returned. */
    Optional<InetSocketAddress> nextReturn() {
        return returns.keySet().stream().findFirst();
    }

    /** Returns the number of tokens. */
    int size() {
        return batches.stream().mapToInt(Batch::count).sum();
    }

    boolean isEmpty() {
        return batches.isEmpty() && returns.isEmpty();
    }

    private record Batch(InetSocketAddress granter, int count, long expiresNanos) {}
}
