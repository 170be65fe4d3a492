package io.coppershelf.admission.internal;

import io.coppershelf.admission.GroupEvent.TryEnded;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.health.TryEnd;
import io.coppershelf.outcome.ErrorKind;

/** The table from the end of a try to what it says about its server. */
public final class TryEnds {
    private static final int FIRST_SERVER_ERROR = 500;

    private TryEnds() {}

    /** Returns what the end of the try says about its server. */
    public static TryEnd classify(TryEnded ended) {
        if (ended.error().isPresent()) {
            return ofError(ended.error().get());
        }
        boolean failed = ended.status().orElse(0) >= FIRST_SERVER_ERROR;
        if (failed && isRefusal(ended.serverState())) {
            return TryEnd.REFUSED;
        }
        return failed ? TryEnd.FAILED : TryEnd.ANSWERED;
    }

    private static TryEnd ofError(ErrorKind error) {
        return switch (error) {
            case SERVER_LOST, ANSWER_TRUNCATED, ANSWER_FOREIGN -> TryEnd.FAILED;
            case DEADLINE_PASSED, DEADLINE_BEFORE_RUN -> TryEnd.TIMED_OUT;
            case NO_SERVER -> TryEnd.NOT_CONNECTED;
            case SERVER_REFUSED -> TryEnd.REFUSED;
            default -> TryEnd.NEUTRAL;
        };
    }

    private static boolean isRefusal(ServerState state) {
        return state == ServerState.SHEDDING || state == ServerState.DRAINING;
    }
}
