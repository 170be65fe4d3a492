package io.coppershelf.http;

/** What a body that takes memory is part of. */
public enum BodyKind {
    /** A request of a caller, from its head until it is answered. */
    REQUEST,
    /** An answer of a server that is not complete. */
    ANSWER,
    /** A complete answer that is being written to a caller. */
    DELIVERY
}
