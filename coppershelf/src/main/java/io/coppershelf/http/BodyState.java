package io.coppershelf.http;

/**
 * The state of one body for a decision on memory.
 *
 * @param number identifies the body
 * @param isReading whether more of the body is expected
 * @param isLarge whether the body is not served from the share for small ones
 * @param heldBytes the memory that it takes
 * @param nextBytes the most that the next read can add
 * @param remainingBytes the memory that the rest of it takes, that of one read if its length is unknown
 * @param movedBytes the bytes received or written so far
 * @param ageNanos the time since its first byte
 * @param idleNanos the time since the last byte was received or written
 * @param service the service that an answer comes from, empty if that is not known
 * @param isLengthKnown whether the body is known to have an end
 */
record BodyState(
        long number,
        BodyKind kind,
        boolean isReading,
        boolean isLarge,
        long heldBytes,
        long nextBytes,
        long remainingBytes,
        long movedBytes,
        long ageNanos,
        long idleNanos,
        String service,
        boolean isLengthKnown) {}
