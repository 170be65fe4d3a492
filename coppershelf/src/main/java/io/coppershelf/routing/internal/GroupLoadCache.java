package io.coppershelf.routing.internal;

import io.coppershelf.admission.AttemptResult;
import io.coppershelf.admission.AttemptResult.GroupLoad;
import io.coppershelf.admission.GroupName;
import io.coppershelf.outcome.Outcome;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Caches the load that owners last reported for their groups; entries expire after a short time. Thread-safe. */
final class GroupLoadCache {
    private static final Duration ENTRY_LIFETIME = Duration.ofSeconds(1);
    private static final Duration WAIT_AFTER_REFUSAL = Duration.ofSeconds(1);
    private static final Duration WAIT_WITHOUT_FREE_SLOT = Duration.ofMillis(1);
    private static final int MAX_GROUPS = 4_096;

    private final ConcurrentMap<GroupName, Entry> entries = new ConcurrentHashMap<>();

    /** Records the load of the group that the result of an attempt carries. */
    void record(GroupName group, AttemptResult result, long nowNanos) {
        if (entries.size() >= MAX_GROUPS) {
            entries.values().removeIf(entry -> entry.isStale(nowNanos));
        }
        boolean isRefused = result.error()
                .filter(error -> error.outcome() == Outcome.NOT_RUN)
                .isPresent();
        if (isRefused) {
            long reported = result.load().map(GroupLoadCache::waitNanos).orElse(0L);
            entries.put(group, new Entry(Math.max(reported, WAIT_AFTER_REFUSAL.toNanos()), nowNanos));
            return;
        }
        result.load().ifPresent(load -> entries.put(group, new Entry(waitNanos(load), nowNanos)));
    }

    private static long waitNanos(GroupLoad load) {
        return load.freeSlots() > 0
                ? load.expectedWaitNanos()
                : load.expectedWaitNanos() + WAIT_WITHOUT_FREE_SLOT.toNanos();
    }

    /** Returns the expected wait of a new request, 0 if no load is known. */
    long expectedWaitNanos(GroupName group, long nowNanos) {
        Entry entry = entries.get(group);
        return entry == null || entry.isStale(nowNanos) ? 0 : entry.waitNanos();
    }

    private record Entry(long waitNanos, long recordedNanos) {
        boolean isStale(long nowNanos) {
            return nowNanos - recordedNanos > ENTRY_LIFETIME.toNanos();
        }
    }
}
