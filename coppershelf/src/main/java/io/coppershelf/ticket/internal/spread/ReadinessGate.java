package io.coppershelf.ticket.internal.spread;

import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Decides when a VM that starts may serve: after it has taken over the state of a peer that serves, and has at least
 * tried to read the platform; or, if no peer serves, with an answer of the platform alone.
 */
final class ReadinessGate {
    private static final int IDLE_PEERS_ENOUGH = 64;

    private final Set<String> idlePeers = new HashSet<>();
    private boolean isSynchronized;
    private boolean isReady;

    boolean isReady() {
        return isReady;
    }

    /** The configuration of a peer that serves has been taken over. */
    void markSynchronized() {
        isSynchronized = true;
    }

    /** A peer told whether it serves; the state of one that does has to be taken over first. */
    void recordPeer(String peer, boolean isServing) {
        if (isReady) {
            return;
        }
        if (isServing) {
            idlePeers.remove(peer);
        } else {
            idlePeers.add(peer);
        }
    }

    /** Returns whether the peer said that it does not serve, or whether it does not matter any more. */
    boolean isKnownIdle(String peer) {
        return isReady || idlePeers.contains(peer);
    }

    /** Returns why this VM may serve from now on, once. */
    Optional<String> open(FleetView view, PlatformWatch watch, boolean mayHavePeers) {
        Optional<String> reason = isReady ? Optional.empty() : reason(view, watch, mayHavePeers);
        isReady |= reason.isPresent();
        return reason;
    }

    private Optional<String> reason(FleetView view, PlatformWatch watch, boolean mayHavePeers) {
        if (isSynchronized && watch.hasRead()) {
            return Optional.of("the peers and the platform answered");
        }
        if (isSynchronized && watch.hasAttemptedRead()) {
            return Optional.of("the peers answered, the platform did not");
        }
        if (watch.hasRead() && !mayHavePeers && noPeerServes(view)) {
            return Optional.of("the platform answered, no peer serves");
        }
        return Optional.empty();
    }

    private boolean noPeerServes(FleetView view) {
        long idle = view.vms().stream().map(Vm::id).filter(idlePeers::contains).count();
        return idle >= Math.min(view.vms().size() - 1, IDLE_PEERS_ENOUGH);
    }
}
