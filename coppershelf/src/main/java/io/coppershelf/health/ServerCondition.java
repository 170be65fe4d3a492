package io.coppershelf.health;

/** The condition of a backend server, as decided by the owner of its group. */
public enum ServerCondition {
    /** Receives requests. */
    IN_SERVICE,
    /** Added or restarted recently; receives requests and is judged with longer limits. */
    COLD,
    /** Suspected to be unhealthy, without a grant to eject it; selected last. */
    SUSPECTED,
    /** Receives no requests, under a grant to eject it. */
    EJECTED,
    /** Receives single idempotent requests after an ejection. */
    PROBATION,
    /** Draining by ticket, by the platform's list or by its own report; receives no new requests. */
    DRAINING
}
