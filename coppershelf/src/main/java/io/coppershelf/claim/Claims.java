package io.coppershelf.claim;

import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.component.ComponentKey;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.routing.InboundRequest;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Claims idempotency keys across the fleet. Thread-safe. */
public interface Claims {
    ComponentKey<Claims> NAME = ComponentKey.named("claim", Claims.class);

    /** Claims the key of a non-idempotent request before its first attempt; never completes exceptionally. */
    CompletableFuture<ClaimResult> claim(InboundRequest request);

    /**
     * Reports how the request of a claim ended, so that a later request with the same key gets the same outcome. After
     * {@link Outcome#NOT_RUN} the key can be claimed again.
     *
     * @param answer the complete answer, empty if there is none
     */
    void complete(InboundRequest request, Outcome outcome, Optional<Answer> answer);

    /** The result of a claim. */
    sealed interface ClaimResult {
        /** The key is claimed for this request, which may be sent. */
        record Claimed() implements ClaimResult {}

        /** The key was used before; this is the answer to the earlier request. */
        record Answered(Answer answer) implements ClaimResult {}

        /** The request must not be sent; the error kind gives the reason. */
        record Rejected(ErrorKind error) implements ClaimResult {}
    }
}
