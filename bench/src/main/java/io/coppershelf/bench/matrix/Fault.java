package io.coppershelf.bench.matrix;

/** The faults of the matrix. */
enum Fault {
    VM_KILLED,
    VM_PAUSED,
    VM_RESTARTED,
    CUT_IN,
    CUT_OUT,
    SPLIT,
    PLATFORM_DOWN,
    PLATFORM_STALE,
    PLATFORM_ROLLED_BACK,
    TWO_TICKETS_ONE_NUMBER,
    SERVER_STALLED,
    SERVER_DIES_AFTER_RUN,
    ANSWER_TRUNCATED,
    ANSWER_LATE,
    ANSWER_CROSSED,
    ANSWER_TWICE,
    DRAIN_DURING_WORK;

    /** Returns whether the fault affects a VM or the network paths between VMs. */
    boolean isOfVms() {
        return compareTo(SPLIT) <= 0;
    }

    /** Returns whether the fault affects the platform. */
    boolean isOfPlatform() {
        return compareTo(PLATFORM_DOWN) >= 0 && compareTo(TWO_TICKETS_ONE_NUMBER) <= 0;
    }

    /** Returns whether the fault affects a backend server or its answer. */
    boolean isOfServer() {
        return compareTo(SERVER_STALLED) >= 0;
    }
}
