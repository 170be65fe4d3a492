package io.coppershelf.bench.decisions;

/** A caller's request and what really happened to it. */
final class BenchRequest {
    private final long number;
    private final int vm;
    private final KindProfile kind;
    private final long arrivedNanos;
    private int runs;
    private int tries;
    private boolean answered;

    BenchRequest(long number, int vm, KindProfile kind, long arrivedNanos) {
        this.number = number;
        this.vm = vm;
        this.kind = kind;
        this.arrivedNanos = arrivedNanos;
    }

    KindProfile kind() {
        return kind;
    }

    int vm() {
        return vm;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    long deadlineNanos() {
        return arrivedNanos + kind.deadlineNanos();
    }

    /** Returns the id of a new try. */
    String nextAttemptId() {
        return number + "/" + tries++;
    }

    int attempts() {
        return tries;
    }

    /** Counts a run on a server. */
    void recordRun() {
        runs++;
    }

    int runs() {
        return runs;
    }

    /** Marks the request as answered; returns whether it was not so before. */
    boolean markAnswered() {
        boolean first = !answered;
        answered = true;
        return first;
    }

    boolean isAnswered() {
        return answered;
    }
}
