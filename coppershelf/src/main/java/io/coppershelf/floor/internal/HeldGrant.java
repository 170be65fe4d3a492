package io.coppershelf.floor.internal;

import java.util.List;
import java.util.Optional;

/** One grant that this VM holds or requests. */
final class HeldGrant {
    private final String service;
    private final String server;
    private long sequence;
    private long sentAtNanos;
    private boolean awaitingReply;
    private boolean wasLiveAtRequest;
    private boolean granted;
    private long untilNanos;
    private long requestedAtNanos;
    private List<String> remainingTargets = List.of();

    HeldGrant(String service, String server, long nowNanos) {
        this.service = service;
        this.server = server;
        this.requestedAtNanos = nowNanos;
    }

    String service() {
        return service;
    }

    String server() {
        return server;
    }

    long sequence() {
        return sequence;
    }

    long untilNanos() {
        return untilNanos;
    }

    boolean wasLiveAtRequest() {
        return wasLiveAtRequest;
    }

    boolean isLive(long nowNanos) {
        return granted && nowNanos - untilNanos < 0;
    }

    boolean isExpired(long nowNanos) {
        return granted && nowNanos - untilNanos >= 0;
    }

    boolean isAwaitingReply() {
        return awaitingReply;
    }

    void markRequested(long nowNanos) {
        requestedAtNanos = nowNanos;
    }

    /** Returns whether the owner of the server requested the grant within the last grant duration. */
    boolean isRequestedRecently(long nowNanos) {
        return nowNanos - requestedAtNanos < FloorTiming.GRANT_DURATION.toNanos();
    }

    boolean isRenewalDue(long nowNanos) {
        return !awaitingReply && nowNanos - sentAtNanos >= FloorTiming.GRANT_RENEWAL.toNanos();
    }

    boolean isReplyOverdue(long nowNanos) {
        return awaitingReply && nowNanos - sentAtNanos >= FloorTiming.REPLY_TIMEOUT.toNanos();
    }

    /** Sets the VMs to send the request to, one after another. */
    void setCandidates(List<String> candidates) {
        remainingTargets = candidates;
        awaitingReply = false;
    }

    /** Moves the VM that another one named as granter to the front, unless the request was already sent to it. */
    void prioritize(String granter) {
        if (!remainingTargets.contains(granter)) {
            return;
        }
        List<String> others =
                remainingTargets.stream().filter(id -> !id.equals(granter)).toList();
        remainingTargets = java.util.stream.Stream.concat(java.util.stream.Stream.of(granter), others.stream())
                .toList();
    }

    /** Returns the VM to send the request to and records it as sent now, or empty if none is left. */
    Optional<String> nextTarget(long newSequence, long nowNanos) {
        if (remainingTargets.isEmpty()) {
            awaitingReply = false;
            return Optional.empty();
        }
        String target = remainingTargets.get(0);
        remainingTargets = remainingTargets.subList(1, remainingTargets.size());
        sequence = newSequence;
        sentAtNanos = nowNanos;
        wasLiveAtRequest = isLive(nowNanos);
        awaitingReply = true;
        return Optional.of(target);
    }

    boolean isAwaitedReply(long replySequence) {
        return awaitingReply && replySequence == sequence;
    }

    void finishRequest() {
        awaitingReply = false;
        remainingTargets = List.of();
    }

    /**
     * Handles the reply that the server is granted. The grant counts from before the request was sent. A renewal only
     * extends a grant that is still live, because a new granter renews it during its takeover without treating it as a
     * new grant.
     *
     * @return whether the grant is live now
     */
    boolean onGranted(long nowNanos) {
        long until = sentAtNanos + FloorTiming.GRANT_DURATION.toNanos();
        finishRequest();
        if (nowNanos - until >= 0 || (wasLiveAtRequest && !isLive(nowNanos))) {
            return false;
        }
        granted = true;
        untilNanos = until;
        return true;
    }
}
