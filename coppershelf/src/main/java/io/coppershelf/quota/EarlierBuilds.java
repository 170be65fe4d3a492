package io.coppershelf.quota;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Detects the live VMs that grant no tokens because they run the earlier build: they answer messages of other kinds,
 * but none about tokens. A VM that answered once counts as a granter until it is down or leaves. Silence alone is no
 * evidence: the path to or from that VM may be cut while it grants tokens to others.
 */
final class EarlierBuilds {
    private static final long PROBE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Interval between probes of a VM after the first ones. */
    private static final long SLOW_PROBE_NANOS = TimeUnit.SECONDS.toNanos(30);
    /** Number of the first probes; more tell nothing new of a VM that can't be reached. */
    private static final int FIRST_PROBES = 4;
    /** Shortest time between probes of any VMs, so that a VM that is cut off from a large fleet sends few. */
    private static final long SPACING_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    /** Unanswered probes before messages of other kinds count; fewer may be lost or still on their way. */
    private static final int MIN_PROBES = 3;

    private final Set<InetSocketAddress> granting = new HashSet<>();
    private final Map<InetSocketAddress, Probes> probed = new HashMap<>();
    private long lastProbeNanos;

    EarlierBuilds(long nowNanos) {
        lastProbeNanos = nowNanos;
    }

    /** Returns whether a VM has sent messages about tokens. */
    boolean isGranting(InetSocketAddress vm) {
        return granting.contains(vm);
    }

    /** Records a message about tokens. */
    void recordTokens(InetSocketAddress vm) {
        granting.add(vm);
        probed.remove(vm);
    }

    /** Records an answer of another kind. */
    void recordContact(InetSocketAddress vm) {
        Probes probes = probed.get(vm);
        if (probes != null && probes.count() >= MIN_PROBES) {
            probed.put(vm, new Probes(probes.count(), probes.contacts() + 1, probes.lastNanos()));
        }
    }

    /** Returns whether a VM runs the earlier build. */
    boolean contains(InetSocketAddress vm) {
        Probes probes = probed.get(vm);
        return probes != null && probes.contacts() > 0;
    }

    /** Starts to find out whether a VM runs the earlier build, unless it has sent messages about tokens. */
    void suspect(InetSocketAddress vm, long nowNanos) {
        if (!granting.contains(vm)) {
            probed.putIfAbsent(vm, new Probes(0, 0, nowNanos - PROBE_NANOS));
        }
    }

    /** Returns a VM that should be asked now to find out; the caller then asks it. */
    Optional<InetSocketAddress> nextProbe(long nowNanos) {
        if (nowNanos - lastProbeNanos < SPACING_NANOS) {
            return Optional.empty();
        }
        Optional<InetSocketAddress> due = probed.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue().lastNanos()
                        >= (entry.getValue().isSlow() ? SLOW_PROBE_NANOS : PROBE_NANOS))
                .map(Map.Entry::getKey)
                .findFirst();
        due.ifPresent(vm -> {
            lastProbeNanos = nowNanos;
            probed.computeIfPresent(vm, (key, probes) -> new Probes(probes.count() + 1, probes.contacts(), nowNanos));
        });
        return due;
    }

    /** Returns whether the next probe should ask for a message of another kind as well. */
    boolean needsContact(InetSocketAddress vm) {
        Probes probes = probed.get(vm);
        return probes != null && probes.count() >= MIN_PROBES && probes.contacts() == 0;
    }

    /** Removes the VMs that are not among these. */
    void retain(Set<InetSocketAddress> live) {
        granting.retainAll(live);
        probed.keySet().retainAll(live);
    }

    private record Probes(int count, int contacts, long lastNanos) {
        boolean isSlow() {
            return contacts > 0 || count >= FIRST_PROBES;
        }
    }
}
