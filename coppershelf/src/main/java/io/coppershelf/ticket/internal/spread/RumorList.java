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
 * The tickets that this VM still announces. A rumour ends when enough peers knew it already.
 *
 * @see <a href="https://doi.org/10.1145/41840.41841">Demers et al., Epidemic Algorithms for Replicated Database
 *     Maintenance, 1987</a>
 */
final class RumorList {
    private static final int FAN_OUT = 3;
    private static final int KNOWN_ANSWERS_TO_END = 3;
    private static final int RUMORS_AT_MOST = 64;
    private static final long LIFE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<TicketKey, Rumor> rumors = new LinkedHashMap<>();
    private final Random random;

    RumorList(Random random) {
        this.random = random;
    }

    /** Begins to announce a ticket; if there are too many, repair carries it. */
    void begin(TicketKey key, Optional<String> source, long nowNanos) {
        if (rumors.size() < RUMORS_AT_MOST) {
            Rumor rumor = new Rumor(nowNanos);
            source.ifPresent(rumor.told::add);
            rumors.putIfAbsent(key, rumor);
        }
    }

    /** Takes note that the peer has the ticket without this VM's doing. */
    void recordKnownBy(String peer, TicketKey key) {
        Rumor rumor = rumors.get(key);
        if (rumor != null) {
            rumor.told.add(peer);
        }
    }

    void recordReply(TicketKey key, boolean wasKnown) {
        Rumor rumor = rumors.get(key);
        if (rumor != null && wasKnown && ++rumor.knownAnswers >= KNOWN_ANSWERS_TO_END) {
            rumors.remove(key);
        }
    }

    /** Allows another try. */
    void recordFailure(String target, TicketKey key) {
        Rumor rumor = rumors.get(key);
        if (rumor != null) {
            rumor.told.remove(target);
        }
    }

    /** Returns the announcements due now, to a few peers for each ticket. */
    List<Announce> announcements(FleetView view, long nowNanos) {
        rumors.values().removeIf(rumor -> nowNanos - rumor.beganNanos >= LIFE_NANOS);
        List<Announce> due = new ArrayList<>();
        rumors.forEach((key, rumor) -> {
            for (Vm target : chooseTargets(view, rumor.told)) {
                rumor.told.add(target.id());
                due.add(new Announce(target, key));
            }
        });
        return due;
    }

    private List<Vm> chooseTargets(FleetView view, Set<String> told) {
        List<Vm> candidates = new ArrayList<>();
        for (Vm vm : view.vms()) {
            if (!vm.id().equals(view.self().id()) && !told.contains(vm.id())) {
                candidates.add(vm);
            }
        }
        Collections.shuffle(candidates, random);
        return candidates.subList(0, Math.min(FAN_OUT, candidates.size()));
    }

    private static final class Rumor {
        private final long beganNanos;
        private final Set<String> told = new HashSet<>();
        private int knownAnswers;

        Rumor(long beganNanos) {
            this.beganNanos = beganNanos;
        }
    }
}
