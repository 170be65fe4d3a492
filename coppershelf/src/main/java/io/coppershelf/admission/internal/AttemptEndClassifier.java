package io.coppershelf.admission.internal;

import io.coppershelf.admission.GroupEvent.AttemptEnded;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.health.AttemptEnd;
import io.coppershelf.outcome.ErrorKind;

/** Classifies the end of an attempt as evidence on its server. */
public final class AttemptEndClassifier {
    private static final int FIRST_SERVER_ERROR = 500;

    private AttemptEndClassifier() {}

    /** Returns the class of the attempt's end. */
    public static AttemptEnd classify(AttemptEnded ended) {
        if (ended.error().isPresent()) {
            return ofError(ended.error().get());
        }
        boolean failed = ended.status().orElse(0) >= FIRST_SERVER_ERROR;
        if (failed && isRefusal(ended.serverState())) {
            return AttemptEnd.REFUSED;
        }
        return failed ? AttemptEnd.FAILED : AttemptEnd.ANSWERED;
    }

    private static AttemptEnd ofError(ErrorKind error) {
        return switch (error) {
            case SERVER_LOST, ANSWER_TRUNCATED, ANSWER_FOREIGN -> AttemptEnd.FAILED;
            case DEADLINE_PASSED, DEADLINE_BEFORE_RUN -> AttemptEnd.TIMED_OUT;
            case NO_SERVER -> AttemptEnd.NOT_CONNECTED;
            case SERVER_REFUSED -> AttemptEnd.REFUSED;
            default -> AttemptEnd.NEUTRAL;
        };
    }

    private static boolean isRefusal(ServerState state) {
        return state == ServerState.SHEDDING || state == ServerState.DRAINING;
    }
}
