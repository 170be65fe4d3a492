package io.coppershelf.routing.internal;

import io.coppershelf.admission.AttemptResult;
import io.coppershelf.admission.AttemptResult.GroupLoad;
import io.coppershelf.admission.GroupName;
import io.coppershelf.outcome.Outcome;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** What the owners last told of the load of their groups; forgotten after a while. Safe for use by several threads. */
final class GroupLoadCache {
    private static final Duration MEMORY = Duration.ofSeconds(1);
    private static final Duration WAIT_AFTER_REFUSAL = Duration.ofSeconds(1);
    private static final Duration WAIT_WITHOUT_FREE_SLOT = Duration.ofMillis(1);
    private static final int MOST_GROUPS = 4_096;

    private final ConcurrentMap<GroupName, Heard> heard = new ConcurrentHashMap<>();

    /** Takes in what a try told of the group. */
    void record(GroupName group, AttemptResult result, long nowNanos) {
        if (heard.size() >= MOST_GROUPS) {
            heard.values().removeIf(entry -> entry.isStale(nowNanos));
        }
        boolean isRefused = result.error()
                .filter(error -> error.outcome() == Outcome.NOT_RUN)
                .isPresent();
        if (isRefused) {
            long told = result.load().map(GroupLoadCache::waitNanos).orElse(0L);
            heard.put(group, new Heard(Math.max(told, WAIT_AFTER_REFUSAL.toNanos()), nowNanos));
            return;
        }
        result.load().ifPresent(load -> heard.put(group, new Heard(waitNanos(load), nowNanos)));
    }

    private static long waitNanos(GroupLoad load) {
        return load.freeSlots() > 0
                ? load.expectedWaitNanos()
                : load.expectedWaitNanos() + WAIT_WITHOUT_FREE_SLOT.toNanos();
    }

    /** Returns the wait that a new request is expected to have, 0 if nothing is known. */
    long expectedWaitNanos(GroupName group, long nowNanos) {
        Heard entry = heard.get(group);
        return entry == null || entry.isStale(nowNanos) ? 0 : entry.waitNanos();
    }

    private record Heard(long waitNanos, long heardNanos) {
        boolean isStale(long nowNanos) {
            return nowNanos - heardNanos > MEMORY.toNanos();
        }
    }
}
