package io.coppershelf.claim.internal;

import io.coppershelf.backend.BackendResult.Answer;
import java.util.Optional;

/**
 * What one holder says to a claim.
 *
 * @param verdict its verdict
 * @param answer the whole answer of the earlier attempt, if it ran and the answer is kept
 */
public record HolderDecision(Kind verdict, Optional<Answer> answer) {
    /** Returns an answer without the answer of an earlier attempt. */
    public static HolderDecision of(Kind verdict) {
        return new HolderDecision(verdict, Optional.empty());
    }

    /** The verdicts of a holder. */
    public enum Kind {
        /** The key is claimed for this attempt. */
        ACCEPTED,
        /** Another attempt runs. */
        RUNNING,
        /** Another attempt ran. */
        RUN,
        /** Another attempt ended without anyone knowing whether it ran. */
        UNKNOWN,
        /** The key was used for another request. */
        REUSED,
        /** The holder can't know all attempts of the window. */
        NO_HISTORY,
        /** The holder has no room for another attempt. */
        FULL
    }
}
