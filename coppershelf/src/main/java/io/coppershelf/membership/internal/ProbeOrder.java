package io.coppershelf.membership.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Selects VMs in random order, so that each is probed once in every round. */
final class ProbeOrder {
    private final Random random;
    private final Deque<String> round = new ArrayDeque<>();

    ProbeOrder(Random random) {
        this.random = random;
    }

    /** Returns the next id that may be probed; starts a new round at the end of the current one. */
    Optional<String> next(Supplier<List<String>> ids, Predicate<String> mayProbe) {
        Optional<String> next = pollRound(mayProbe);
        if (next.isPresent()) {
            return next;
        }
        List<String> shuffled = new ArrayList<>(ids.get());
        Collections.shuffle(shuffled, random);
        round.addAll(shuffled);
        return pollRound(mayProbe);
    }

    private Optional<String> pollRound(Predicate<String> mayProbe) {
        while (!round.isEmpty()) {
            String id = round.pollFirst();
            if (mayProbe.test(id)) {
                return Optional.of(id);
            }
        }
        return Optional.empty();
    }
}
