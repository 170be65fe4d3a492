package io.coppershelf.claim.internal;

import io.coppershelf.backend.BackendResult.Answer;
import java.util.Optional;

/**
 * A claim record in a message between holders; times are durations, because clocks are not synchronised.
 *
 * @param key the key
 * @param requestId the id of the request
 * @param digest the digest of the request
 * @param status the last known status of the request
 * @param answer the complete answer if it is kept
 * @param overdueInNanos the time until a request without a reported outcome counts as unknown
 * @param expiresInNanos the time until the record expires
 */
public record TransferredClaim(
        String key,
        String requestId,
        RequestDigest digest,
        ClaimStatus status,
        Optional<Answer> answer,
        long overdueInNanos,
        long expiresInNanos) {
    static TransferredClaim of(String key, ClaimRecord claim, long nowNanos) {
        return new TransferredClaim(
                key,
                claim.requestId(),
                claim.digest(),
                claim.status(),
                claim.answer(),
                claim.overdueNanos() - nowNanos,
                claim.expiryNanos() - nowNanos);
    }

    ClaimRecord toRecord(long nowNanos) {
        return new ClaimRecord(requestId, digest, status, answer, nowNanos + overdueInNanos, nowNanos + expiresInNanos);
    }
}
