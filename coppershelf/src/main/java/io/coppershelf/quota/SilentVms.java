package io.coppershelf.quota;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** The VMs that have not answered requests for tokens: they are down, cut off or run the earlier build. */
final class SilentVms {
    /** Time for which a VM that did not answer is not asked. */
    private static final long SKIP_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Requests without an answer after which a VM is skipped; a single one may be due to lost messages. */
    private static final int MAX_UNANSWERED = 2;

    /** VMs that are assumed to have answered, so that a single silent one doesn't count as the whole fleet. */
    private static final int ASSUMED_ANSWERING = 2;

    private final Set<InetSocketAddress> answering = new HashSet<>();
    private final Map<InetSocketAddress, Integer> unanswered = new HashMap<>();
    private final Map<InetSocketAddress, Long> skippedUntil = new HashMap<>();

    /** Records that a VM did not answer a request and its repetition. */
    void recordSilence(InetSocketAddress vm, long nowNanos) {
        if (unanswered.merge(vm, 1, Integer::sum) >= MAX_UNANSWERED) {
            answering.remove(vm);
            skippedUntil.put(vm, nowNanos + SKIP_NANOS);
        }
    }

    /** Records an answer. */
    void recordAnswer(InetSocketAddress vm) {
        answering.add(vm);
        unanswered.remove(vm);
        skippedUntil.remove(vm);
    }

    /** Returns whether a VM is not asked at present. */
    boolean isSkipped(InetSocketAddress vm, long nowNanos) {
        Long until = skippedUntil.get(vm);
        return until != null && nowNanos - until < 0;
    }

    /**
     * Returns the share of the asked VMs that answer, without those that can't. If messages pass in one direction only,
     * the other side may consider this VM down and issue tokens in its place.
     */
    double answeringShare(Predicate<InetSocketAddress> isUnable) {
        long silent = unanswered.entrySet().stream()
                .filter(entry -> entry.getValue() >= MAX_UNANSWERED && !isUnable.test(entry.getKey()))
                .count();
        int answered = answering.size() + ASSUMED_ANSWERING;
        return answered / (double) (answered + silent);
    }

    /** Removes the VMs that are not live. */
    void retain(Set<InetSocketAddress> live) {
        answering.retainAll(live);
        unanswered.keySet().retainAll(live);
        skippedUntil.keySet().retainAll(live);
    }
}
