package io.coppershelf.claim;

import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.component.ComponentKey;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.routing.InboundRequest;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Claims idempotency keys over the fleet. Safe for use by several threads. */
public interface Claims {
    ComponentKey<Claims> NAME = ComponentKey.named("claim", Claims.class);

    /** Claims the key of a non-idempotent request before its first try; never completes exceptionally. */
    CompletableFuture<ClaimResult> claim(InboundRequest request);

    /**
     * Tells how the request of a claim ended, so that a repeat gets the same truth. After {@link Outcome#NOT_RUN} the
     * key is free again.
     *
     * @param answer the whole answer, empty if there is none
     */
    void complete(InboundRequest request, Outcome outcome, Optional<Answer> answer);

    /** What a claim came to. */
    sealed interface ClaimResult {
        /** The key is claimed for this request; it may be sent. */
        record Claimed() implements ClaimResult {}

        /** The key was used before and this is the answer of that time. */
        record Answered(Answer answer) implements ClaimResult {}

        /** The request must not be sent; the kind says why. */
        record Rejected(ErrorKind error) implements ClaimResult {}
    }
}
