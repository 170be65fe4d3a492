package io.coppershelf.claim.internal;

import io.coppershelf.backend.BackendResult.Answer;
import java.util.Optional;

/**
 * A claim on a key by one request, as recorded by a holder.
 *
 * @param requestId the id of the request, unique across the fleet
 * @param digest the digest of the request
 * @param status the last known status of the request
 * @param answer the complete answer, if the request ran and the answer is kept
 * @param overdueNanos the time from which a request without a reported outcome counts as unknown
 * @param expiryNanos the time at which the record expires
 */
record ClaimRecord(
        String requestId,
        RequestDigest digest,
        ClaimStatus status,
        Optional<Answer> answer,
        long overdueNanos,
        long expiryNanos) {
    /**
     * Returns the status that a later request with the key gets; a running request that is overdue counts as unknown.
     */
    ClaimStatus status(long nowNanos) {
        boolean overdue = status == ClaimStatus.RUNNING && nowNanos - overdueNanos >= 0;
        return overdue ? ClaimStatus.UNKNOWN : status;
    }

    boolean isExpired(long nowNanos) {
        return nowNanos - expiryNanos >= 0;
    }

    int answerBytes() {
        return answer.map(kept -> kept.body().length).orElse(0);
    }

    /** Merges two records of the same request; the result does not depend on their order. */
    ClaimRecord merge(ClaimRecord other) {
        ClaimRecord newer = other.status.compareTo(status) > 0 ? other : this;
        long expiry = Math.max(expiryNanos, other.expiryNanos);
        long overdue = Math.max(overdueNanos, other.overdueNanos);
        Optional<Answer> kept = newer.answer.or(() -> answer).or(other::answer);
        return new ClaimRecord(requestId, digest, newer.status, kept, overdue, expiry);
    }
}
