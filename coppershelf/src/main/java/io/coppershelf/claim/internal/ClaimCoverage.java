package io.coppershelf.claim.internal;

import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether this VM, as a holder of a key, has all claim records of the key from the retention window.
 *
 * <p>It does not have them before its pull at start is complete; nor, for {@link ClaimLimits#SETTLING_TIME} after a
 * change of the VM list, for keys that it was not a holder of before; nor, for one window, for keys of which nearly all
 * holders were lost at once. A VM is lost if it is removed from the VM list or restarts without being marked as
 * leaving.
 */
public final class ClaimCoverage {
    /** The incarnation of a VM that is known only from the VM list published by the platform. */
    private static final long INCARNATION_UNKNOWN = 0;

    private final String self;
    private final long startNanos;
    private final Map<String, Vm> listed = new HashMap<>();
    private final Set<String> pulledFrom = new HashSet<>();
    private final Set<String> pulledWithHistory = new HashSet<>();
    private final Map<String, Long> lostAtNanos = new HashMap<>();
    private final Set<String> lostBeforeStart = new HashSet<>();
    private final Deque<FormerView> formerViews = new ArrayDeque<>();
    private final List<HolderLoss> holderLosses = new ArrayList<>();
    private FleetView current;

    /** Creates the coverage of a VM that starts now. */
    public ClaimCoverage(FleetView view, long nowNanos) {
        this.self = view.self().id();
        this.startNanos = nowNanos;
        this.current = view;
        publishedVms(view).forEach(vm -> listed.put(vm.id(), vm));
    }

    /** Applies a view of the fleet. */
    public void onFleet(FleetView view, long nowNanos) {
        prune(nowNanos);
        formerViews.addLast(new FormerView(current, nowNanos));
        current = view;
        Map<String, Vm> newlyListed = new HashMap<>();
        publishedVms(view).forEach(vm -> newlyListed.put(vm.id(), vm));
        listed.values().stream()
                .filter(before -> isLost(before, newlyListed))
                .forEach(vm -> lostAtNanos.put(vm.id(), nowNanos));
        listed.clear();
        listed.putAll(newlyListed);
        recordHolderLoss(nowNanos);
    }

    /**
     * Records that a peer has sent all pages of the pull.
     *
     * @param historyKnown whether the peer itself had the claim records from before its start
     * @param lost the VMs that the peer recorded as lost
     */
    public void onPullComplete(String peer, boolean historyKnown, List<String> lost) {
        pulledFrom.add(peer);
        lostBeforeStart.addAll(lost);
        if (historyKnown) {
            pulledWithHistory.add(peer);
        }
    }

    /** Returns the peers from which claim records must still be pulled. */
    public List<String> peersToPull(long nowNanos) {
        if (nowNanos - startNanos >= ClaimLimits.WINDOW.toNanos()
                || nowNanos - startNanos < ClaimLimits.SETTLING_TIME.toNanos()) {
            return List.of();
        }
        return listed.values().stream()
                .filter(this::mayHaveStartedBefore)
                .map(Vm::id)
                .filter(id -> !pulledFrom.contains(id) || (isLost(id) && !pulledWithHistory.contains(id)))
                .sorted()
                .toList();
    }

    /** Returns whether this VM has the claim records from before its start. */
    public boolean isComplete(long nowNanos) {
        long age = nowNanos - startNanos;
        return age >= ClaimLimits.WINDOW.toNanos()
                || (age >= ClaimLimits.SETTLING_TIME.toNanos() && countUnaccountedVms() <= ClaimLimits.MAX_LOST_VMS);
    }

    /** Returns whether this VM has all claim records of the key from the window. */
    public boolean covers(String key, long nowNanos) {
        if (!isComplete(nowNanos)) {
            return false;
        }
        prune(nowNanos);
        boolean wasAlwaysHolder = formerViews.stream()
                .allMatch(former -> holders(former.view(), key).contains(self));
        return wasAlwaysHolder && holderLosses.stream().noneMatch(loss -> loss.affects(key));
    }

    /** Returns the VMs that were lost within the window. */
    public List<String> lostVms(long nowNanos) {
        prune(nowNanos);
        return lostAtNanos.keySet().stream().sorted().toList();
    }

    /** Returns the ids of the holders of the key in the given view, best-ranked first. */
    public static List<String> holders(FleetView view, String key) {
        return view.rankedPublished("claim/" + key, ClaimLimits.HOLDERS).stream()
                .map(Vm::id)
                .toList();
    }

    /**
     * Returns the number of VMs that may hold claim records that this one has not received. The pull from a restarted
     * VM replaces one from the lost incarnation only after the restarted VM has itself recovered the earlier records.
     */
    private int countUnaccountedVms() {
        Set<String> unaccounted = new HashSet<>();
        listed.values().stream().filter(this::mayHaveStartedBefore).map(Vm::id).forEach(unaccounted::add);
        unaccounted.removeAll(pulledFrom);
        unaccounted.addAll(lostBeforeStart);
        unaccounted.addAll(lostAtNanos.keySet());
        unaccounted.removeAll(pulledWithHistory);
        return unaccounted.size();
    }

    private boolean isLost(String id) {
        return lostBeforeStart.contains(id) || lostAtNanos.containsKey(id);
    }

    private boolean mayHaveStartedBefore(Vm vm) {
        long latest = current.self().incarnation() + ClaimLimits.INCARNATION_SLACK.toMillis();
        return !vm.id().equals(self) && vm.incarnation() <= latest;
    }

    private void recordHolderLoss(long nowNanos) {
        Set<String> recentlyLost = new HashSet<>();
        lostAtNanos.forEach((id, at) -> {
            if (nowNanos - at < ClaimLimits.SETTLING_TIME.toNanos()) {
                recentlyLost.add(id);
            }
        });
        if (recentlyLost.size() > ClaimLimits.MAX_LOST_VMS) {
            FleetView before = formerViews.getFirst().view();
            holderLosses.add(new HolderLoss(before, recentlyLost, nowNanos + ClaimLimits.WINDOW.toNanos()));
        }
    }

    private void prune(long nowNanos) {
        formerViews.removeIf(former -> nowNanos - former.replacedNanos() >= ClaimLimits.SETTLING_TIME.toNanos());
        holderLosses.removeIf(loss -> nowNanos - loss.untilNanos() >= 0);
        lostAtNanos.values().removeIf(at -> nowNanos - at >= ClaimLimits.WINDOW.toNanos());
    }

    private static boolean isLost(Vm before, Map<String, Vm> newlyListed) {
        Vm after = newlyListed.get(before.id());
        if (before.leaving()) {
            return false;
        }
        if (after == null) {
            return true;
        }
        return before.incarnation() != INCARNATION_UNKNOWN && after.incarnation() != before.incarnation();
    }

    private static List<Vm> publishedVms(FleetView view) {
        return view.rankedPublished("", Integer.MAX_VALUE);
    }

    private record FormerView(FleetView view, long replacedNanos) {}

    private record HolderLoss(FleetView before, Set<String> lost, long untilNanos) {
        boolean affects(String key) {
            return holders(before, key).stream().filter(lost::contains).count() > ClaimLimits.MAX_LOST_VMS;
        }
    }
}
