package io.coppershelf.mesh;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The other VMs that were live in the last minute and have not announced that they leave. VMs that are missing among
 * the live ones may be on the other side of a divided network. Not thread-safe.
 */
final class RecentVms {
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** Time without a call after which this VM was paused; the pause doesn't count as silence of the others. */
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<InetSocketAddress, Long> seenNanos = new HashMap<>();
    private long calledNanos;
    private Set<InetSocketAddress> countedLive = Set.of();
    private int counted;
    private boolean isCountCurrent;
    /** A time before which none of the counted VMs expires. */
    private long expiryNanos;

    RecentVms(long nowNanos) {
        calledNanos = nowNanos;
    }

    /** Records a new heartbeat of a VM. */
    void record(MemberEntry entry, long nowNanos) {
        advance(nowNanos);
        if (entry.isLeaving()) {
            isCountCurrent &= seenNanos.remove(entry.address()) == null;
        } else {
            isCountCurrent &= seenNanos.put(entry.address(), nowNanos) != null;
        }
    }

    /**
     * Returns the number of VMs that were live in the last minute or are live. The VMs are counted again only after
     * some have changed.
     *
     * @param live the live VMs, another instance after they have changed
     */
    int count(Set<InetSocketAddress> live, long nowNanos) {
        advance(nowNanos);
        if (isCountCurrent && live == countedLive && nowNanos - expiryNanos <= 0) {
            return counted;
        }
        seenNanos.values().removeIf(seen -> nowNanos - seen > RETENTION_NANOS);
        Set<InetSocketAddress> all = new HashSet<>(seenNanos.keySet());
        all.addAll(live);
        counted = all.size();
        countedLive = live;
        isCountCurrent = true;
        long oldestNanos = nowNanos;
        for (long seen : seenNanos.values()) {
            oldestNanos = Math.min(oldestNanos, seen);
        }
        expiryNanos = oldestNanos + RETENTION_NANOS;
        return counted;
    }

    private void advance(long nowNanos) {
        long gapNanos = nowNanos - calledNanos;
        if (gapNanos > PAUSE_NANOS) {
            seenNanos.replaceAll((vm, seen) -> seen + gapNanos);
        }
        calledNanos = nowNanos;
    }
}
