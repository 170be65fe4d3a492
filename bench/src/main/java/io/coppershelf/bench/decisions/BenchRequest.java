package io.coppershelf.bench.decisions;

/** A caller's request, with what the simulation recorded about its attempts, runs and answer. */
final class BenchRequest {
    private final long number;
    private final int vm;
    private final KindProfile kind;
    private final long arrivedNanos;
    private int runs;
    private int attempts;
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

    /** Returns the id of a new attempt. */
    String nextAttemptId() {
        return number + "/" + attempts++;
    }

    int attempts() {
        return attempts;
    }

    /** Counts a run on a server. */
    void recordRun() {
        runs++;
    }

    int runs() {
        return runs;
    }

    /** Marks the request as answered; returns whether it was unanswered before. */
    boolean markAnswered() {
        boolean first = !answered;
        answered = true;
        return first;
    }

    boolean isAnswered() {
        return answered;
    }
}
