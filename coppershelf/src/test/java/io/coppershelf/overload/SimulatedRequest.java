package io.coppershelf.overload;

/** A request of the simulation and what became of it. */
final class SimulatedRequest {
    final OverloadScenario.Kind kind;
    final int tenant;
    final String service;
    final long arrivedNanos;
    final long workNanos;
    int vm;
    int attempts;
    boolean isServed;
    long endedNanos;
    /** Time from the arrival, or the last return, to the refusal; -1 if it was not refused. */
    long refusalNanos = -1;

    /** Whether it was refused while its service had fewer requests than slots. */
    boolean isRefusedWithRoom;

    long returnedNanos;
    /** Time for which this VM held the request before it was sent. */
    long heldNanos;

    SimulatedRequest(OverloadScenario.Kind kind, int tenant, String service, long arrivedNanos, long workNanos) {
        this.kind = kind;
        this.tenant = tenant;
        this.service = service;
        this.arrivedNanos = arrivedNanos;
        this.workNanos = workNanos;
        returnedNanos = arrivedNanos;
    }

    boolean isInTime() {
        return isServed && endedNanos - arrivedNanos <= kind.objectiveNanos();
    }

    double credit() {
        return isInTime() ? OverloadScenario.credit(kind) : 0;
    }
}
