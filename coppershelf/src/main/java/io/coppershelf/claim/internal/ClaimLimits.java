package io.coppershelf.claim.internal;

import java.time.Duration;

/** The durations and size limits of the claims on idempotency keys. */
public final class ClaimLimits {
    /** The retention window: how long a claim record is kept after its last update. */
    public static final Duration WINDOW = Duration.ofMinutes(10);

    /** How long after the deadline of a request its outcome may still be reported; then it counts as unknown. */
    public static final Duration COMPLETION_MARGIN = Duration.ofSeconds(5);

    /**
     * How long after a change of the VM list a new holder of a key rejects claims on it; the other holders send it
     * their claim records in this time.
     */
    public static final Duration SETTLING_TIME = Duration.ofSeconds(5);

    /**
     * How long after a change of the VM list the claim records are pushed to new holders for the second and last time.
     */
    public static final Duration SECOND_PUSH_DELAY = Duration.ofSeconds(3);

    /**
     * The largest difference between the wall clocks of two VMs that is allowed for when their start times are
     * compared.
     */
    public static final Duration INCARNATION_SLACK = Duration.ofSeconds(10);

    /** How long a requester waits for the replies of the holders. */
    public static final Duration CLAIM_TIMEOUT = Duration.ofMillis(500);

    /** The timeout of one page of a pull, and of a push. */
    public static final Duration PULL_TIMEOUT = Duration.ofSeconds(2);

    /** The interval at which the outcome of a request is resent to a holder that has not confirmed it. */
    public static final Duration COMPLETION_RETRY_INTERVAL = Duration.ofSeconds(1);

    /** The maximum number of times that the outcome of a request is sent to one holder. */
    public static final int MAX_COMPLETION_SENDS = 5;

    /** The number of holders of a key. */
    public static final int HOLDERS = 5;

    /** The maximum number of holders that must accept a claim before the first attempt. */
    public static final int MAX_QUORUM = 4;

    /** The maximum number of VMs that can be lost without losing claims: each claim is held by at least four VMs. */
    public static final int MAX_LOST_VMS = 3;

    /** The maximum body size of an answer that is kept for later requests with the key. */
    public static final int MAX_KEPT_ANSWER_BYTES = 16 * 1024;

    /** The maximum total size of the answers that a VM keeps. */
    public static final long MAX_TOTAL_ANSWER_BYTES = 16L * 1024 * 1024;

    /** The maximum number of claim records of a VM. */
    public static final int MAX_CLAIM_RECORDS = 100_000;

    /** The number of claim records after which a page of a transfer ends. */
    public static final int PAGE_SIZE = 100;

    /** The bytes of answers after which a page of a transfer ends. */
    public static final int PAGE_BYTES = 256 * 1024;

    private ClaimLimits() {}

    /** Returns the number of holders that must accept a claim, given the number of holders of the key. */
    public static int quorum(int holders) {
        return Math.min(holders, MAX_QUORUM);
    }
}
