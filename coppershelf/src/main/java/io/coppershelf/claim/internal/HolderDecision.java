package io.coppershelf.claim.internal;

import io.coppershelf.backend.BackendResult.Answer;
import java.util.Optional;

/**
 * The decision of one holder on a claim.
 *
 * @param kind the kind of decision
 * @param answer the complete answer to the earlier request, if it ran and the answer is kept
 */
public record HolderDecision(Kind kind, Optional<Answer> answer) {
    /** Returns a decision without an answer. */
    public static HolderDecision of(Kind kind) {
        return new HolderDecision(kind, Optional.empty());
    }

    /** The kinds of decisions. */
    public enum Kind {
        /** The key is claimed for this request. */
        ACCEPTED,
        /** Another request with the key is running. */
        RUNNING,
        /** Another request with the key ran. */
        RUN,
        /** Another request with the key ended, and whether it ran is not known. */
        UNKNOWN,
        /** The key was used for a request with another method, target or body. */
        REUSED,
        /** The holder may lack claim records of the window. */
        NO_HISTORY,
        /** The holder has no capacity for another claim record. */
        FULL
    }
}
