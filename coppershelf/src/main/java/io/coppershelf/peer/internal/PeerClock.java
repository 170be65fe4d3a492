package io.coppershelf.peer.internal;

import io.coppershelf.operator.HybridClock;
import java.util.Optional;

/**
 * Stamps messages with the hybrid logical clock of the process and advances it by received stamps. Until a clock is
 * set, the stamp is 0.
 */
final class PeerClock {
    private volatile Optional<HybridClock> clock = Optional.empty();

    void use(HybridClock hybridClock) {
        clock = Optional.of(hybridClock);
    }

    long stamp() {
        return clock.map(HybridClock::stamp).orElse(0L);
    }

    void observe(long stamp) {
        clock.filter(present -> stamp != 0).ifPresent(present -> present.observe(stamp));
    }
}
