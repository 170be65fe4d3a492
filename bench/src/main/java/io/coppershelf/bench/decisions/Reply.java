package io.coppershelf.bench.decisions;

import java.util.Optional;

/**
 * An owner's reply to an entry VM about an attempt.
 *
 * @param status the HTTP status of an answer
 * @param isNotRun whether the attempt is known not to have run, if there is no answer
 */
record Reply(Optional<Integer> status, boolean isNotRun) {
    private static final int SERVER_ERROR = 500;

    static Reply answered(int status) {
        return new Reply(Optional.of(status), false);
    }

    static Reply notRun() {
        return new Reply(Optional.empty(), true);
    }

    static Reply unknown() {
        return new Reply(Optional.empty(), false);
    }

    /** Returns whether there is an answer that is no server error. */
    boolean isSuccess() {
        return status.isPresent() && status.get() < SERVER_ERROR;
    }
}
