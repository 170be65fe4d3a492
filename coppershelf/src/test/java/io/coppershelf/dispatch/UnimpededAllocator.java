package io.coppershelf.dispatch;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/** Allocates servers on a VM that reaches all of them, while none of them pauses. */
abstract class UnimpededAllocator implements AttemptAllocator {
    @Override
    public Optional<Duration> pause() {
        return Optional.empty();
    }

    @Override
    public Optional<Duration> quarantine() {
        return Optional.empty();
    }

    @Override
    public boolean isCutOff() {
        return false;
    }

    @Override
    public boolean isOutOfReach(Set<String> excluded) {
        return false;
    }

    @Override
    public Optional<InetSocketAddress> relay(Set<InetSocketAddress> excluded) {
        return Optional.empty();
    }
}
