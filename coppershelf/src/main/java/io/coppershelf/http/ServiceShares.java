package io.coppershelf.http;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Shares memory among the services whose answers are being read: one service may take no more than a multiple of what
 * is free, so that the more it takes the less it may, and some always remains for the others (dynamic thresholds; A. K.
 * Choudhury and E. L. Hahne, Dynamic Queue Length Thresholds for Shared-Memory Packet Switches, IEEE/ACM Transactions
 * on Networking 6(2), 1998). The oldest answer of each service is exempt, so that each service makes progress, but for
 * one that may have no end and has used up a reserve.
 */
final class ServiceShares {
    /** A service may take this many times the free memory. */
    private static final int FREE_MULTIPLE = 3;

    /** What a service takes if no other takes any. */
    private static final double LARGEST_SHARE = FREE_MULTIPLE / (1.0 + FREE_MULTIPLE);

    private final double limitBytes;
    private final double reserveBytes;
    private final Map<String, Long> plannedBytes = new HashMap<>();
    private final Set<String> exempted = new HashSet<>();

    /**
     * Creates shares.
     *
     * @param sharedBytes the memory of large answers; small ones may use more, but those of one service leave room for
     *     large ones of others
     * @param reserveBytes the most that an exempt answer takes if its length is unknown
     */
    ServiceShares(double sharedBytes, double reserveBytes) {
        limitBytes = LARGEST_SHARE * sharedBytes;
        this.reserveBytes = reserveBytes;
    }

    /** Returns whether the bytes that one service takes are within its share. */
    static boolean isWithinShare(long serviceBytes, double freeBytes) {
        return serviceBytes <= FREE_MULTIPLE * freeBytes;
    }

    /** Counts what the answer takes before any further read. */
    void add(BodyState answer) {
        plannedBytes.merge(answer.service(), answer.heldBytes(), Long::sum);
    }

    /** Returns whether the next read of the answer is within the share of its service, and if so counts it. */
    boolean take(BodyState answer, double freeBytes) {
        long bytes = plannedBytes.getOrDefault(answer.service(), 0L) + answer.nextBytes();
        boolean mayBeExempt = answer.isLengthKnown() || answer.heldBytes() <= reserveBytes;
        boolean isExempt = mayBeExempt && exempted.add(answer.service());
        boolean isWithinShare = bytes <= limitBytes && isWithinShare(bytes, freeBytes - answer.nextBytes());
        if (!answer.service().isEmpty() && !isExempt && !isWithinShare) {
            return false;
        }
        plannedBytes.put(answer.service(), bytes);
        return true;
    }
}
