package io.coppershelf.quota;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.Set;
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

    /**
     * Smallest number of answers that the share is computed from; VMs that were not asked yet count as answering. Half
     * of the sample, which is left when half of the VMs are down.
     */
    private static final int MIN_ANSWERS = SIZE / 2;

    private final Deque<Answer> answers = new ArrayDeque<>();
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
    void recordSilence(InetSocketAddress vm) {
        add(new Answer(vm, false));
    }

    /** Records an answer if it is that to the last question. */
    void recordAnswer(InetSocketAddress vm, long number) {
        if (number == askedNumber && asked.filter(vm::equals).isPresent()) {
            asked = Optional.empty();
            add(new Answer(vm, true));
        }
    }

    /**
     * Removes the answers of VMs that are not among these. The share of live VMs accounts for those that are down;
     * their silence must not reduce the tokens a second time.
     */
    void retain(Set<InetSocketAddress> live) {
        answers.removeIf(answer -> !live.contains(answer.vm()));
    }

    /** Returns the share. */
    double share() {
        long silent = answers.stream().filter(answer -> !answer.isAnswered()).count();
        return 1 - silent / (double) Math.max(MIN_ANSWERS, answers.size());
    }

    private void add(Answer answer) {
        answers.addLast(answer);
        if (answers.size() > SIZE) {
            answers.removeFirst();
        }
    }

    private record Answer(InetSocketAddress vm, boolean isAnswered) {}
}
