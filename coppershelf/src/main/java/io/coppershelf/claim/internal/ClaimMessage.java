package io.coppershelf.claim.internal;

import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.peer.PeerMessage;
import java.util.List;
import java.util.Optional;

/** The messages of the claims on idempotency keys. */
public sealed interface ClaimMessage extends PeerMessage {
    /**
     * Claims a key for a request.
     *
     * @param requestId the id of the request
     * @param remainingMillis the time until the deadline of the request
     */
    record ClaimRequest(String key, RequestDigest digest, String requestId, long remainingMillis)
            implements ClaimMessage {}

    /** The reply to a {@link ClaimRequest}. */
    record ClaimReply(HolderDecision decision) implements ClaimMessage {}

    /**
     * Reports how a request ended.
     *
     * @param requestId the id of the request
     * @param answer the complete answer if the request ran and the answer is small enough to be kept
     */
    record ClaimCompletion(
            String key, RequestDigest digest, String requestId, ClaimStatus status, Optional<Answer> answer)
            implements ClaimMessage {}

    /** Confirms a {@link ClaimCompletion} or a {@link ClaimPush}. */
    record ClaimConfirmation() implements ClaimMessage {}

    /**
     * Requests a page of the claim records of the keys that the sender is a holder of.
     *
     * @param after the last key of the previous page, empty string for the first page
     */
    record ClaimPull(String after) implements ClaimMessage {}

    /**
     * The reply to a {@link ClaimPull}.
     *
     * @param claims the claim records
     * @param last the last key that the page covers
     * @param complete whether this is the last page
     * @param historyKnown whether the sender has the claim records from before its start
     * @param lost the VMs that the sender recorded as lost within the window
     */
    record ClaimPage(
            List<TransferredClaim> claims, String last, boolean complete, boolean historyKnown, List<String> lost)
            implements ClaimMessage {}

    /** Sends claim records to a VM that has become a holder of their keys. */
    record ClaimPush(List<TransferredClaim> claims) implements ClaimMessage {}
}
