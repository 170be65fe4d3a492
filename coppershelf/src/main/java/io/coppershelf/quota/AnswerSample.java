package io.coppershelf.quota;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The share of the other VMs that answer this one, from questions to random VMs. If messages pass in one direction
 * only, the VMs of the other side consider this one down and issue tokens in its place, while it still considers them
 * live. Not thread-safe.
 */
final class AnswerSample {
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Size of the sample: 16 s, so that half of it is renewed when the other side considers this VM down. */
    private static final int SIZE = 32;

    private final Deque<Boolean> answers = new ArrayDeque<>();
    private Optional<InetSocketAddress> asked = Optional.empty();
    private long askedNumber;
    private long askedNanos;

    AnswerSample(long nowNanos) {
        askedNanos = nowNanos;
    }

    /** Returns whether the next VM should be asked. */
    boolean isDue(long nowNanos) {
        return nowNanos - askedNanos >= INTERVAL_NANOS;
    }

    /** Records a question; returns the VM that did not answer the one before. */
    Optional<InetSocketAddress> ask(InetSocketAddress vm, long number, long nowNanos) {
        Optional<InetSocketAddress> silent = asked;
        asked = Optional.of(vm);
        askedNumber = number;
        askedNanos = nowNanos;
        return silent;
    }

    /** Records that a VM is silent although it answered in the past. */
    void recordSilence() {
        add(false);
    }

    /** Records an answer if it is that to the last question. */
    void recordAnswer(InetSocketAddress vm, long number) {
        if (number == askedNumber && asked.filter(vm::equals).isPresent()) {
            asked = Optional.empty();
            add(true);
        }
    }

    /** Returns the share; VMs that were not asked yet count as answering. */
    double share() {
        long silent = answers.stream().filter(isAnswered -> !isAnswered).count();
        return 1 - silent / (double) SIZE;
    }

    private void add(boolean isAnswered) {
        answers.addLast(isAnswered);
        if (answers.size() > SIZE) {
            answers.removeFirst();
        }
    }
}
