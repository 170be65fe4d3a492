package io.coppershelf.admission;

import io.coppershelf.component.ComponentKey;
import io.coppershelf.membership.Vm;
import java.util.concurrent.CompletableFuture;

/** Hands tries to the owners of server groups, on this VM or another. Safe for use by several threads. */
public interface AttemptSender {
    ComponentKey<AttemptSender> NAME = ComponentKey.named("admission", AttemptSender.class);

    /**
     * Hands the try to the owner, once. If nothing was sent the result is {@code OWNER_UNREACHABLE}; if a reply is
     * missing it is {@code OWNER_LOST}.
     */
    AttemptExchange send(Vm owner, AttemptRequest request);

    /** A try under way at an owner. */
    interface AttemptExchange {
        /** Returns the future result; it never completes exceptionally. */
        CompletableFuture<AttemptResult> result();

        /** Gives the try up; {@link #result} then tells whether it is proved not to have run. */
        void cancel();
    }
}
