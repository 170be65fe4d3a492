package io.coppershelf.health;

/** How a try ended, as far as it speaks about its server. */
public enum AttemptEnd {
    /** A whole answer that is no error of the server. */
    ANSWERED,
    /** The server caused an error: a 5xx status, a lost connection, a truncated or foreign answer. */
    FAILED,
    /** The deadline passed, or the try was cancelled, without an answer. */
    TIMED_OUT,
    /** No connection could be made. */
    NOT_CONNECTED,
    /** The server said that it would not run it: shedding, draining. */
    REFUSED,
    /** Anything that says nothing about the server. */
    NEUTRAL
}
