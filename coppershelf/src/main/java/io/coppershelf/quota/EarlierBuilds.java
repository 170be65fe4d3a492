package io.coppershelf.quota;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Detects the live VMs that grant no tokens because they run the earlier build: they answer messages of other kinds,
 * but none about tokens. A VM that answered once counts as a granter until it is down or leaves. Silence alone is no
 * evidence: the path to or from that VM may be cut while it grants tokens to others.
 */
final class EarlierBuilds {
    private static final long PROBE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Interval between probes of a VM that is known to run the earlier build; it may be replaced by a newer one. */
    private static final long SLOW_PROBE_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Unanswered probes before messages of other kinds count; fewer may be lost or still on their way. */
    private static final int MIN_PROBES = 4;
    /** Messages of other kinds that show that the path works. */
    private static final int MIN_CONTACTS = 2;

    private final Set<InetSocketAddress> granting = new HashSet<>();
    private final Map<InetSocketAddress, Probes> probed = new HashMap<>();

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
        return probes != null && probes.contacts() >= MIN_CONTACTS;
    }

    /** Returns whether a VM should be asked now to find out; the caller then asks it. */
    boolean isProbeDue(InetSocketAddress vm, long nowNanos) {
        if (granting.contains(vm)) {
            return false;
        }
        Probes probes = probed.getOrDefault(vm, new Probes(0, 0, nowNanos - SLOW_PROBE_NANOS));
        if (nowNanos - probes.lastNanos() < (contains(vm) ? SLOW_PROBE_NANOS : PROBE_NANOS)) {
            return false;
        }
        probed.put(vm, new Probes(probes.count() + 1, probes.contacts(), nowNanos));
        return true;
    }

    /** Returns whether the next probe should ask for a message of another kind as well. */
    boolean needsContact(InetSocketAddress vm) {
        Probes probes = probed.get(vm);
        return probes != null && probes.count() >= MIN_PROBES && probes.contacts() < MIN_CONTACTS;
    }

    /** Removes the VMs that are not live. */
    void retain(Set<InetSocketAddress> live) {
        granting.retainAll(live);
        probed.keySet().retainAll(live);
    }

    private record Probes(int count, int contacts, long lastNanos) {}
}
