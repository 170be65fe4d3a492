package io.coppershelf.membership.internal;

import io.coppershelf.membership.Vm;

/** What this VM knows of another one. */
final class Member {
    private MemberUpdate update;
    private long hash;
    private long changedNanos;
    private long answeredNanos;
    private boolean hasAnswered;
    private boolean isAnswering;
    private long listedRevision;
    private boolean isListedAsLeaving;
    private boolean isGoneByList;

    Member(MemberUpdate update, long nowNanos) {
        this.update = update;
        hash = update.hash();
        changedNanos = nowNanos;
    }

    MemberUpdate update() {
        return update;
    }

    /** Returns the hash of the statement in force. */
    long hash() {
        return hash;
    }

    /** Returns the VM, leaving if it said so itself or the platform's list does. */
    Vm vm() {
        return isListedAsLeaving ? update.asLeaving().vm() : update.vm();
    }

    /** Returns where to send a probe: to any incarnation unless this one is known to answer. */
    Vm probeTarget() {
        Vm vm = update.vm();
        return isAnswering
                ? vm
                : new Vm(vm.id(), 0, vm.dataCentre(), vm.host(), vm.peerPort(), vm.operatorPort(), vm.leaving());
    }

    boolean hasStatus(MemberStatus status) {
        return update.status() == status;
    }

    boolean isLive() {
        return !hasStatus(MemberStatus.GONE);
    }

    boolean isDroppedFromList() {
        return isGoneByList;
    }

    /** Returns whether the last probe of this VM was answered. */
    boolean isAnswering() {
        return isAnswering;
    }

    boolean hasAnsweredSince(long nanos) {
        return hasAnswered && answeredNanos - nanos >= 0;
    }

    long changedNanos() {
        return changedNanos;
    }

    long listedRevision() {
        return listedRevision;
    }

    void replace(MemberUpdate newer, long nowNanos) {
        if (newer.vm().incarnation() != update.vm().incarnation()) {
            isAnswering = false;
            isGoneByList = false;
            listedRevision = update.vm().incarnation() == 0 ? listedRevision : 0;
        }
        update = newer;
        hash = newer.hash();
        changedNanos = nowNanos;
    }

    void markLeaving() {
        update = update.asLeaving();
        hash = update.hash();
    }

    void markAnswered(long nowNanos) {
        hasAnswered = true;
        isAnswering = true;
        answeredNanos = nowNanos;
    }

    void markUnanswered() {
        isAnswering = false;
    }

    void markListed(long revision, boolean isLeaving) {
        listedRevision = revision;
        isListedAsLeaving = isLeaving;
        isGoneByList = false;
    }

    void markDroppedFromList(long nowNanos) {
        isGoneByList = true;
        listedRevision = 0;
        replace(update.withStatus(MemberStatus.GONE), nowNanos);
    }
}
