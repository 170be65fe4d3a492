package io.coppershelf.claim.internal;

/**
 * The status of a claiming request at a holder; a later constant replaces an earlier one in whichever order they
 * arrive.
 */
public enum ClaimStatus {
    /** The key is claimed; the outcome of the request is not known yet. */
    RUNNING,
    /** The request ended, and whether it ran is not known. */
    UNKNOWN,
    /** The request is proven not to have run. */
    NOT_RUN,
    /** The request ran. */
    RUN
}
