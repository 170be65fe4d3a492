package io.coppershelf.claim.internal;

import io.coppershelf.backend.BackendResult.Answer;
import java.util.Optional;

/**
 * What a holder knows of one attempt to run the request of a key.
 *
 * @param id the id of the attempt, unique over the fleet
 * @param digest the digest of the request
 * @param status what became of it
 * @param answer the whole answer, if it ran and the answer is kept
 * @param overdueNanos when its end should be known by
 * @param forgetNanos when it is to be forgotten
 */
record ClaimRecord(
        String id,
        RequestDigest digest,
        ClaimStatus status,
        Optional<Answer> answer,
        long overdueNanos,
        long forgetNanos) {
    /** Returns the status for a repeat: the outcome of an attempt that is overdue counts as unknown. */
    ClaimStatus status(long nowNanos) {
        boolean overdue = status == ClaimStatus.RUNNING && nowNanos - overdueNanos >= 0;
        return overdue ? ClaimStatus.UNKNOWN : status;
    }

    boolean isExpired(long nowNanos) {
        return nowNanos - forgetNanos >= 0;
    }

    int answerBytes() {
        return answer.map(kept -> kept.body().length).orElse(0);
    }

    /** Returns the attempt with the news of both; equal whatever the order in which they came. */
    ClaimRecord merge(ClaimRecord other) {
        ClaimRecord newer = other.status.compareTo(status) > 0 ? other : this;
        long forget = Math.max(forgetNanos, other.forgetNanos);
        long overdue = Math.max(overdueNanos, other.overdueNanos);
        Optional<Answer> kept = newer.answer.or(() -> answer).or(other::answer);
        return new ClaimRecord(id, digest, newer.status, kept, overdue, forget);
    }
}
