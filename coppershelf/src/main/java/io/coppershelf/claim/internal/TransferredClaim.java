package io.coppershelf.claim.internal;

import io.coppershelf.backend.BackendResult.Answer;
import java.util.Optional;

/**
 * An attempt on its way from one holder to another; times are durations, since clocks are not synchronised.
 *
 * @param key the key
 * @param id the id of the attempt
 * @param digest the digest of the request
 * @param status what became of it
 * @param answer the whole answer if it is kept
 * @param overdueInNanos the time until its end should be known by
 * @param forgetInNanos the time until it is to be forgotten
 */
public record TransferredClaim(
        String key,
        String id,
        RequestDigest digest,
        ClaimStatus status,
        Optional<Answer> answer,
        long overdueInNanos,
        long forgetInNanos) {
    static TransferredClaim of(String key, ClaimRecord attempt, long nowNanos) {
        return new TransferredClaim(
                key,
                attempt.id(),
                attempt.digest(),
                attempt.status(),
                attempt.answer(),
                attempt.overdueNanos() - nowNanos,
                attempt.forgetNanos() - nowNanos);
    }

    ClaimRecord toRecord(long nowNanos) {
        return new ClaimRecord(id, digest, status, answer, nowNanos + overdueInNanos, nowNanos + forgetInNanos);
    }
}
