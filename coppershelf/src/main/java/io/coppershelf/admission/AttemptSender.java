package io.coppershelf.admission;

import io.coppershelf.component.ComponentKey;
import io.coppershelf.membership.Vm;
import java.util.concurrent.CompletableFuture;

/** Sends attempts to the owners of server groups, on this VM or another one. Thread-safe. */
public interface AttemptSender {
    ComponentKey<AttemptSender> NAME = ComponentKey.named("admission", AttemptSender.class);

    /**
     * Sends the attempt to the owner at most once. The result is {@code OWNER_UNREACHABLE} if nothing was sent and
     * {@code OWNER_LOST} if the reply is missing.
     */
    AttemptExchange send(Vm owner, AttemptRequest request);

    /** An attempt in flight at an owner. */
    interface AttemptExchange {
        /** Returns the future result; it never completes exceptionally. */
        CompletableFuture<AttemptResult> result();

        /** Cancels the attempt; {@link #result} then states whether it provably did not run. */
        void cancel();
    }
}
