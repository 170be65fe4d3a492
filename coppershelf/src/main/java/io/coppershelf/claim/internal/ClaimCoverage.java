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
 * Whether this VM can know all attempts of the window with a key.
 *
 * <p>It can't before its pull at start is complete; nor, for some time after a change of the VM list, for the keys that
 * it was not a holder of before; nor, for one window, for keys whose holders were nearly all lost at once.
 */
public final class ClaimCoverage {
    /** The incarnation of a VM that only the platform's list has named so far. */
    private static final long INCARNATION_UNKNOWN = 0;

    private final String self;
    private final long startNanos;
    private final Map<String, Vm> listed = new HashMap<>();
    private final Set<String> answered = new HashSet<>();
    private final Set<String> answeredKnowing = new HashSet<>();
    private final Map<String, Long> lostAt = new HashMap<>();
    private final Set<String> lostBeforeStart = new HashSet<>();
    private final Deque<FormerView> formerViews = new ArrayDeque<>();
    private final List<Damage> damages = new ArrayList<>();
    private FleetView current;

    /** Returns the history of a VM that starts now. */
    public ClaimCoverage(FleetView view, long nowNanos) {
        this.self = view.self().id();
        this.startNanos = nowNanos;
        this.current = view;
        list(view).forEach(vm -> listed.put(vm.id(), vm));
    }

    /** Takes over a view of the fleet. */
    public void onFleet(FleetView view, long nowNanos) {
        prune(nowNanos);
        formerViews.addLast(new FormerView(current, nowNanos));
        current = view;
        Map<String, Vm> now = new HashMap<>();
        list(view).forEach(vm -> now.put(vm.id(), vm));
        listed.values().stream().filter(before -> isLost(before, now)).forEach(vm -> lostAt.put(vm.id(), nowNanos));
        listed.clear();
        listed.putAll(now);
        noteDamage(nowNanos);
    }

    /**
     * Takes in that a peer has answered the whole pull.
     *
     * @param knowing whether the peer itself knew the attempts made before its start
     * @param lost the VMs that the peer saw leave the list without a handover
     */
    public void onPullComplete(String peer, boolean knowing, List<String> lost) {
        answered.add(peer);
        lostBeforeStart.addAll(lost);
        if (knowing) {
            answeredKnowing.add(peer);
        }
    }

    /** Returns the peers that are still to be pulled from. */
    public List<String> peersToPull(long nowNanos) {
        if (nowNanos - startNanos >= ClaimLimits.WINDOW.toNanos()
                || nowNanos - startNanos < ClaimLimits.SETTLING_TIME.toNanos()) {
            return List.of();
        }
        return listed.values().stream()
                .filter(this::isElder)
                .map(Vm::id)
                .filter(id -> !answered.contains(id) || (isLost(id) && !answeredKnowing.contains(id)))
                .sorted()
                .toList();
    }

    /** Returns whether this VM knows the attempts that were made before it started. */
    public boolean isComplete(long nowNanos) {
        long age = nowNanos - startNanos;
        return age >= ClaimLimits.WINDOW.toNanos()
                || (age >= ClaimLimits.SETTLING_TIME.toNanos() && unaccounted() <= ClaimLimits.LARGEST_LOSS);
    }

    /** Returns whether this VM can know all attempts of the window with the key. */
    public boolean covers(String key, long nowNanos) {
        if (!isComplete(nowNanos)) {
            return false;
        }
        prune(nowNanos);
        boolean settled = formerViews.stream()
                .allMatch(former -> holders(former.view(), key).contains(self));
        return settled && damages.stream().noneMatch(damage -> damage.concerns(key));
    }

    /** Returns the VMs that were lost without a handover within the window. */
    public List<String> lostVms(long nowNanos) {
        prune(nowNanos);
        return lostAt.keySet().stream().sorted().toList();
    }

    /** Returns the ids of the holders of the key in the given view, best-ranked first. */
    public static List<String> holders(FleetView view, String key) {
        return view.rankedPublished("claim/" + key, ClaimLimits.HOLDERS).stream()
                .map(Vm::id)
                .toList();
    }

    /**
     * Returns the number of VMs that may hold claims of which this one has not heard. The new start of a lost VM stands
     * for it only once it knows itself what the lost one knew.
     */
    private int unaccounted() {
        Set<String> unaccounted = new HashSet<>();
        listed.values().stream().filter(this::isElder).map(Vm::id).forEach(unaccounted::add);
        unaccounted.removeAll(answered);
        unaccounted.addAll(lostBeforeStart);
        unaccounted.addAll(lostAt.keySet());
        unaccounted.removeAll(answeredKnowing);
        return unaccounted.size();
    }

    private boolean isLost(String id) {
        return lostBeforeStart.contains(id) || lostAt.containsKey(id);
    }

    private boolean isElder(Vm vm) {
        long latest = current.self().incarnation() + ClaimLimits.INCARNATION_SLACK.toMillis();
        return !vm.id().equals(self) && vm.incarnation() <= latest;
    }

    private void noteDamage(long nowNanos) {
        Set<String> recent = new HashSet<>();
        lostAt.forEach((id, at) -> {
            if (nowNanos - at < ClaimLimits.SETTLING_TIME.toNanos()) {
                recent.add(id);
            }
        });
        if (recent.size() > ClaimLimits.LARGEST_LOSS) {
            FleetView before = formerViews.getFirst().view();
            damages.add(new Damage(before, recent, nowNanos + ClaimLimits.WINDOW.toNanos()));
        }
    }

    private void prune(long nowNanos) {
        formerViews.removeIf(former -> nowNanos - former.replacedNanos() >= ClaimLimits.SETTLING_TIME.toNanos());
        damages.removeIf(damage -> nowNanos - damage.untilNanos() >= 0);
        lostAt.values().removeIf(at -> nowNanos - at >= ClaimLimits.WINDOW.toNanos());
    }

    private static boolean isLost(Vm before, Map<String, Vm> now) {
        Vm after = now.get(before.id());
        if (before.leaving()) {
            return false;
        }
        if (after == null) {
            return true;
        }
        return before.incarnation() != INCARNATION_UNKNOWN && after.incarnation() != before.incarnation();
    }

    private static List<Vm> list(FleetView view) {
        return view.rankedPublished("", Integer.MAX_VALUE);
    }

    private record FormerView(FleetView view, long replacedNanos) {}

    private record Damage(FleetView before, Set<String> lost, long untilNanos) {
        boolean concerns(String key) {
            return holders(before, key).stream().filter(lost::contains).count() > ClaimLimits.LARGEST_LOSS;
        }
    }
}
