package io.coppershelf.bench.platform;

/** The faults that the stand-in can simulate. */
public enum PlatformFault {
    /** No fault. */
    NONE,
    /** Closes each connection without an answer. */
    DOWN,
    /** Serves the next ticket to the first reader only, then behaves like {@link #DOWN}. */
    DOWN_AFTER_READER,
    /** Serves the state from when the fault was set and ignores what is published later. */
    STALE,
    /**
     * Serves only the first half of the tickets, with the matching lower position, and the VM list with a lower
     * revision.
     */
    ROLLED_BACK,
    /** Answers with bytes that are not a valid document. */
    GARBAGE,
    /** Sends half of each answer, then closes the connection. */
    TRUNCATED,
    /** Answers with a body of three megabytes. */
    OVERSIZED,
    /** Delays each answer by two seconds. */
    SLOW
}
