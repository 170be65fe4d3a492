package io.coppershelf.ticket.internal.spread;

import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Decides when a starting VM may serve: once it has synchronized with a serving peer and has attempted to read the
 * platform or, if no peer serves, once the platform has answered.
 */
final class ReadinessGate {
    private static final int MAX_REQUIRED_IDLE_PEERS = 64;

    private final Set<String> idlePeers = new HashSet<>();
    private boolean isSynchronized;
    private boolean isReady;

    boolean isReady() {
        return isReady;
    }

    /** Records that this VM has the configuration of a serving peer. */
    void markSynchronized() {
        isSynchronized = true;
    }

    /** Records whether a peer serves. As long as one does, this VM has to synchronize with it before it serves. */
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

    /** Returns whether the peer reported that it doesn't serve; always true once this VM is ready. */
    boolean isKnownIdle(String peer) {
        return isReady || idlePeers.contains(peer);
    }

    /** Opens the gate and returns the reason if this VM may serve from now on; empty at all other times. */
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
        return idle >= Math.min(view.vms().size() - 1, MAX_REQUIRED_IDLE_PEERS);
    }
}
