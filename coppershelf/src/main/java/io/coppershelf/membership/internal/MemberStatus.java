package io.coppershelf.membership.internal;

/**
 * The status of a VM; of two updates with the same incarnation and refutation, the one with the later constant wins.
 */
enum MemberStatus {
    ALIVE(0),
    SUSPECT(1),
    GONE(2);

    private final int code;

    MemberStatus(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
