package io.coppershelf.claim.internal;

import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.peer.PeerMessage;
import java.util.List;
import java.util.Optional;

/** The messages of the claims on idempotency keys. */
public sealed interface ClaimMessage extends PeerMessage {
    /**
     * Claims a key for an attempt.
     *
     * @param remainingMillis the time until the deadline of the attempt
     */
    record ClaimRequest(String key, RequestDigest digest, String attempt, long remainingMillis)
            implements ClaimMessage {}

    /** Answers a {@link ClaimRequest}. */
    record ClaimReply(HolderDecision answer) implements ClaimMessage {}

    /**
     * Tells how an attempt ended.
     *
     * @param answer the whole answer if it ran and is small enough to be kept
     */
    record ClaimCompletion(
            String key, RequestDigest digest, String attempt, ClaimStatus status, Optional<Answer> answer)
            implements ClaimMessage {}

    /** Confirms a {@link ClaimCompletion} or a {@link ClaimPush}. */
    record ClaimConfirmation() implements ClaimMessage {}

    /**
     * Asks for the attempts of the keys that the sender is a holder of.
     *
     * @param after the last key of the page before, empty string for the first page
     */
    record ClaimPull(String after) implements ClaimMessage {}

    /**
     * Answers a {@link ClaimPull}.
     *
     * @param attempts the attempts
     * @param last the last key that was looked at
     * @param complete whether nothing follows
     * @param historyKnown whether the sender knows the attempts that were made before it started
     * @param lost the VMs that the sender saw leave the list within the window without a handover
     */
    record ClaimPage(
            List<TransferredClaim> attempts, String last, boolean complete, boolean historyKnown, List<String> lost)
            implements ClaimMessage {}

    /** Hands attempts to a VM that has become a holder of their keys. */
    record ClaimPush(List<TransferredClaim> attempts) implements ClaimMessage {}
}
