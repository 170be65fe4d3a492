package io.coppershelf.health;

/** How an attempt ended, as evidence on the health of its server. */
public enum AttemptEnd {
    /** A complete answer that is not an error of the server. */
    ANSWERED,
    /** The server caused an error: a 5xx status, a lost connection, a truncated or foreign answer. */
    FAILED,
    /** The deadline passed, or the attempt was cancelled, without an answer. */
    TIMED_OUT,
    /** No connection could be made. */
    NOT_CONNECTED,
    /** The server refused to run it because it is shedding load or draining. */
    REFUSED,
    /** An end that is no evidence on the health of the server. */
    NEUTRAL
}
