package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.testing.Catalogs;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** An allocator whose decisions a test sets. */
final class FakeAllocator implements AttemptAllocator {
    private final Deque<BackendServer> servers = new ArrayDeque<>();
    boolean hasBudget = true;
    Optional<Duration> pause = Optional.empty();
    Optional<Duration> quarantine = Optional.empty();
    boolean isCutOff;
    boolean isOutOfReach;
    List<InetSocketAddress> vms = List.of();
    boolean isLastAttempt;

    FakeAllocator(String... ids) {
        for (String id : ids) {
            servers.add(Catalogs.server(id, "here"));
        }
    }

    @Override
    public Optional<BackendServer> choose(Set<String> excluded, boolean lastAttempt) {
        isLastAttempt = lastAttempt;
        return servers.stream()
                .filter(server -> !excluded.contains(server.id()))
                .findFirst();
    }

    @Override
    public Optional<Duration> pause() {
        return pause;
    }

    @Override
    public Optional<Duration> quarantine() {
        return quarantine;
    }

    @Override
    public boolean isCutOff() {
        return isCutOff;
    }

    @Override
    public boolean isOutOfReach(Set<String> excluded) {
        return isOutOfReach;
    }

    @Override
    public Optional<InetSocketAddress> relay(Set<InetSocketAddress> excluded) {
        return vms.stream().filter(vm -> !excluded.contains(vm)).findFirst();
    }

    @Override
    public boolean canRetry() {
        return hasBudget;
    }

    @Override
    public boolean tryAcquireRetry(boolean isProvedNotRun) {
        return hasBudget;
    }
}
