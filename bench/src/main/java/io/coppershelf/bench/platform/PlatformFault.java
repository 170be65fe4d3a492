package io.coppershelf.bench.platform;

/** The ways in which the stand-in can fail. */
public enum PlatformFault {
    /** Works. */
    NONE,
    /** Closes each connection without an answer. */
    DOWN,
    /** Gives the next ticket to the first reader, and is down from then on. */
    DOWN_AFTER_READER,
    /** Serves what it held when the fault was switched on, whatever is published. */
    STALE,
    /** Serves only the first half of the tickets, at their lower position, and an older list of VMs. */
    ROLLED_BACK,
    /** Answers with bytes that are no answer. */
    GARBAGE,
    /** Sends half of each answer and closes the connection. */
    TRUNCATED,
    /** Answers with three megabytes. */
    OVERSIZED,
    /** Answers two seconds late. */
    SLOW
}
