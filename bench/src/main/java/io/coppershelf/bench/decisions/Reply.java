package io.coppershelf.bench.decisions;

import java.util.Optional;

/**
 * What an owner tells an entry VM of a try.
 *
 * @param status the HTTP status of an answer
 * @param isNotRun whether the try was not run, if there is no answer
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

    /** Returns whether there is a good answer. */
    boolean isSuccess() {
        return status.isPresent() && status.get() < SERVER_ERROR;
    }
}
