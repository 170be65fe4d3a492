package io.coppershelf.claim.internal;

import java.time.Duration;

/** The durations and sizes of the claims on idempotency keys. */
public final class ClaimLimits {
    /** How long a key is remembered after the last news of an attempt with it. */
    public static final Duration WINDOW = Duration.ofMinutes(10);

    /** How long after the deadline of an attempt its end may still be told; then its outcome counts as unknown. */
    public static final Duration COMPLETION_MARGIN = Duration.ofSeconds(5);

    /**
     * How long after a change of the VM list a VM that is a new holder of a key does not accept it; the other holders
     * send what they know in this time.
     */
    public static final Duration SETTLING_TIME = Duration.ofSeconds(5);

    /** How long after a change of the VM list the attempts are sent to new holders for the second and last time. */
    public static final Duration SECOND_PUSH = Duration.ofSeconds(3);

    /** How far the wall clocks of two VMs may differ when the order of their starts is judged. */
    public static final Duration INCARNATION_SLACK = Duration.ofSeconds(10);

    /** How long a requester waits for its holders. */
    public static final Duration CLAIM_TIMEOUT = Duration.ofMillis(500);

    /** The longest wait for one page of a pull. */
    public static final Duration PULL_TIMEOUT = Duration.ofSeconds(2);

    /** The time between two sends of the end of an attempt that a holder has not confirmed. */
    public static final Duration COMPLETION_RETRY = Duration.ofSeconds(1);

    /** The most sends of the end of an attempt to one holder. */
    public static final int COMPLETION_SENDS = 5;

    /** The holders of a key. */
    public static final int HOLDERS = 5;

    /** The most holders that must accept before the first try. */
    public static final int LARGEST_QUORUM = 4;

    /** The most VMs that may be lost without their claims being lost: a claim is held by four VMs at least. */
    public static final int LARGEST_LOSS = 3;

    /** The largest body of an answer that is kept for a repeat, in bytes. */
    public static final int LARGEST_KEPT_ANSWER = 16 * 1024;

    /** The most bytes of answers that a VM keeps. */
    public static final long LARGEST_ANSWER_BYTES = 16L * 1024 * 1024;

    /** The most attempts that a VM remembers. */
    public static final int MOST_ATTEMPTS = 100_000;

    /** The attempts in one page of a transfer. */
    public static final int PAGE_SIZE = 100;

    /** The bytes of answers after which a page of a transfer ends. */
    public static final int PAGE_BYTES = 256 * 1024;

    private ClaimLimits() {}

    /** Returns the number of holders that must accept, of the given number. */
    public static int quorum(int holders) {
        return Math.min(holders, LARGEST_QUORUM);
    }
}
