package io.coppershelf.ticket.internal.spread;

import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.ticket.internal.spread.SpreadAction.Announce;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The tickets that this VM announces by rumor mongering: each to a few random peers a round, until enough peers already
 * had it.
 *
 * @see <a href="https://doi.org/10.1145/41840.41841">Demers et al., Epidemic Algorithms for Replicated Database
 *     Maintenance, 1987</a>
 */
final class RumorList {
    private static final int FAN_OUT = 3;
    private static final int KNOWN_REPLIES_TO_END = 3;
    private static final int MAX_RUMORS = 64;
    private static final long RUMOR_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<TicketKey, Rumor> rumors = new LinkedHashMap<>();
    private final Random random;

    RumorList(Random random) {
        this.random = random;
    }

    /** Starts to announce a ticket. If too many are being announced, repair distributes it instead. */
    void begin(TicketKey key, Optional<String> source, long nowNanos) {
        if (rumors.size() < MAX_RUMORS) {
            Rumor rumor = new Rumor(nowNanos);
            source.ifPresent(rumor.notified::add);
            rumors.putIfAbsent(key, rumor);
        }
    }

    /** Records that the peer has received the ticket from elsewhere. */
    void recordKnownBy(String peer, TicketKey key) {
        Rumor rumor = rumors.get(key);
        if (rumor != null) {
            rumor.notified.add(peer);
        }
    }

    void recordReply(TicketKey key, boolean wasKnown) {
        Rumor rumor = rumors.get(key);
        if (rumor != null && wasKnown && ++rumor.knownReplies >= KNOWN_REPLIES_TO_END) {
            rumors.remove(key);
        }
    }

    /** Makes the target eligible again after a failed announcement. */
    void recordFailure(String target, TicketKey key) {
        Rumor rumor = rumors.get(key);
        if (rumor != null) {
            rumor.notified.remove(target);
        }
    }

    /** Returns the announcements to send now, to a few peers per ticket. */
    List<Announce> announcements(FleetView view, long nowNanos) {
        rumors.values().removeIf(rumor -> nowNanos - rumor.startNanos >= RUMOR_TIMEOUT_NANOS);
        List<Announce> due = new ArrayList<>();
        rumors.forEach((key, rumor) -> {
            for (Vm target : chooseTargets(view, rumor.notified)) {
                rumor.notified.add(target.id());
                due.add(new Announce(target, key));
            }
        });
        return due;
    }

    private List<Vm> chooseTargets(FleetView view, Set<String> notified) {
        List<Vm> candidates = new ArrayList<>();
        for (Vm vm : view.vms()) {
            if (!vm.id().equals(view.self().id()) && !notified.contains(vm.id())) {
                candidates.add(vm);
            }
        }
        Collections.shuffle(candidates, random);
        return candidates.subList(0, Math.min(FAN_OUT, candidates.size()));
    }

    private static final class Rumor {
        private final long startNanos;
        private final Set<String> notified = new HashSet<>();
        private int knownReplies;

        Rumor(long startNanos) {
            this.startNanos = startNanos;
        }
    }
}
