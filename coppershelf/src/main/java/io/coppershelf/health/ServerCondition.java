package io.coppershelf.health;

/** The condition in which a backend server is held by the owner of its group. */
public enum ServerCondition {
    /** Gets work. */
    IN_SERVICE,
    /** Newly seen or restarted; gets work, judged with longer limits. */
    COLD,
    /** Suspected without the right to eject; chosen last. */
    SUSPECTED,
    /** Gets no work, under a right to eject. */
    EJECTED,
    /** Gets a trickle of idempotent work after an ejection. */
    PROBATION,
    /** Is leaving by ticket, platform list or its own word; gets no new work. */
    DRAINING
}
