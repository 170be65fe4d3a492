package io.coppershelf.membership.internal;

import io.coppershelf.membership.Vm;

/** The state of another VM, as known to this one. */
final class Member {
    private MemberUpdate update;
    private long hash;
    private long changedNanos;
    private long repliedNanos;
    private boolean hasReplied;
    private boolean isResponding;
    private long listedRevision;
    private boolean isListedAsLeaving;
    private boolean isDroppedFromList;

    Member(MemberUpdate update, long nowNanos) {
        this.update = update;
        hash = update.hash();
        changedNanos = nowNanos;
    }

    MemberUpdate update() {
        return update;
    }

    /** Returns the hash of the last update. */
    long hash() {
        return hash;
    }

    /** Returns the VM, marked as leaving if it announced so or the platform's VM list does. */
    Vm vm() {
        return isListedAsLeaving ? update.asLeaving().vm() : update.vm();
    }

    /** Returns the target of a probe: any incarnation, unless the known one replied to the last probe. */
    Vm probeTarget() {
        Vm vm = update.vm();
        return isResponding
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
        return isDroppedFromList;
    }

    /** Returns whether the member replied to the last probe. */
    boolean isResponding() {
        return isResponding;
    }

    boolean hasRepliedSince(long nanos) {
        return hasReplied && repliedNanos - nanos >= 0;
    }

    long changedNanos() {
        return changedNanos;
    }

    long listedRevision() {
        return listedRevision;
    }

    void replace(MemberUpdate newer, long nowNanos) {
        if (newer.vm().incarnation() != update.vm().incarnation()) {
            isResponding = false;
            isDroppedFromList = false;
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
        hasReplied = true;
        isResponding = true;
        repliedNanos = nowNanos;
    }

    void markUnanswered() {
        isResponding = false;
    }

    void markListed(long revision, boolean isLeaving) {
        listedRevision = revision;
        isListedAsLeaving = isLeaving;
        isDroppedFromList = false;
    }

    void markDroppedFromList(long nowNanos) {
        isDroppedFromList = true;
        listedRevision = 0;
        replace(update.withStatus(MemberStatus.GONE), nowNanos);
    }
}
