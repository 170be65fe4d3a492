package io.coppershelf.floor.internal;

import java.util.List;
import java.util.Optional;

/** One right that this VM holds or asks for. */
final class HeldGrant {
    private final String service;
    private final String server;
    private long sequence;
    private long sentAtNanos;
    private boolean awaiting;
    private boolean wasLive;
    private boolean granted;
    private long untilNanos;
    private long wantedAtNanos;
    private List<String> untried = List.of();

    HeldGrant(String service, String server, long nowNanos) {
        this.service = service;
        this.server = server;
        this.wantedAtNanos = nowNanos;
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
        return wasLive;
    }

    boolean isLive(long nowNanos) {
        return granted && nowNanos - untilNanos < 0;
    }

    boolean isExpired(long nowNanos) {
        return granted && nowNanos - untilNanos >= 0;
    }

    boolean isAwaitingReply() {
        return awaiting;
    }

    void markRequested(long nowNanos) {
        wantedAtNanos = nowNanos;
    }

    /** Returns whether the owner of the server has asked within the last grant duration. */
    boolean isRequestedRecently(long nowNanos) {
        return nowNanos - wantedAtNanos < FloorTiming.GRANT_DURATION.toNanos();
    }

    boolean isRenewalDue(long nowNanos) {
        return !awaiting && nowNanos - sentAtNanos >= FloorTiming.GRANT_RENEWAL.toNanos();
    }

    boolean isReplyOverdue(long nowNanos) {
        return awaiting && nowNanos - sentAtNanos >= FloorTiming.ANSWER_TIMEOUT.toNanos();
    }

    /** Starts to ask the given VMs one after another. */
    void setCandidates(List<String> candidates) {
        untried = candidates;
        awaiting = false;
    }

    /** Prefers the VM that another one named as granter, if it was not tried yet. */
    void prioritize(String granter) {
        if (!untried.contains(granter)) {
            return;
        }
        List<String> others = untried.stream().filter(id -> !id.equals(granter)).toList();
        untried = java.util.stream.Stream.concat(java.util.stream.Stream.of(granter), others.stream())
                .toList();
    }

    /** Returns the next VM to ask and counts the request as sent now, empty if all were tried. */
    Optional<String> nextTarget(long newSequence, long nowNanos) {
        if (untried.isEmpty()) {
            awaiting = false;
            return Optional.empty();
        }
        String target = untried.get(0);
        untried = untried.subList(1, untried.size());
        sequence = newSequence;
        sentAtNanos = nowNanos;
        wasLive = isLive(nowNanos);
        awaiting = true;
        return Optional.of(target);
    }

    boolean isAwaitedReply(long ofSequence) {
        return awaiting && ofSequence == sequence;
    }

    void finishRequest() {
        awaiting = false;
        untried = List.of();
    }

    /**
     * Takes a grant, which counts from before the request was sent. A renewal only prolongs a right that is still live:
     * a new granter takes it over without counting it as new.
     */
    boolean onGranted(long nowNanos) {
        long until = sentAtNanos + FloorTiming.GRANT_DURATION.toNanos();
        finishRequest();
        if (nowNanos - until >= 0 || (wasLive && !isLive(nowNanos))) {
            return false;
        }
        granted = true;
        untilNanos = until;
        return true;
    }
}
