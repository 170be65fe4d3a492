package io.coppershelf.outcome;

/** What is known about the execution of a request when it is answered. */
public enum Outcome {
    /** The backend server ran the request. */
    RUN("run"),
    /** The request has provably not been run. */
    NOT_RUN("not-run"),
    /** The request may or may not have been run. */
    UNKNOWN("unknown");

    private final String headerValue;

    Outcome(String headerValue) {
        this.headerValue = headerValue;
    }

    /** Returns the value of the {@code Coppershelf-Outcome} header. */
    public String headerValue() {
        return headerValue;
    }
}
