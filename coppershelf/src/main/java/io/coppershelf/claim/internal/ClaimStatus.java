package io.coppershelf.claim.internal;

/** What a holder knows of an attempt; a later constant replaces an earlier one, whatever the order of arrival. */
public enum ClaimStatus {
    /** Claimed; its end is not known yet. */
    RUNNING,
    /** It ended without anyone knowing whether it ran. */
    UNKNOWN,
    /** It is proved that it did not run. */
    NOT_RUN,
    /** It ran. */
    RUN
}
