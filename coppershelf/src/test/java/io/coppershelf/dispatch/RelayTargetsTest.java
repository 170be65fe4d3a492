package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RelayTargetsTest {
    private final List<InetSocketAddress> vms = IntStream.range(1, 20)
            .mapToObj(i -> new InetSocketAddress("10.0.0." + i, 1))
            .toList();
    private final RelayTargets targets = new RelayTargets();

    @Test
    void vmThatDoesNotReachTheServiceIsAvoidedForThisServiceOnly() {
        targets.notReached("ledger", vms.get(0), 0);
        assertThat(choose("ledger", 1)).hasValue(vms.get(1));
        assertThat(choose("billing", 1)).hasValue(vms.get(0));
        assertThat(choose("ledger", RelayTargets.AVOID_NANOS)).hasValue(vms.get(0));
    }

    /** Guards against requests that each travel through the fleet while all servers of a service are down. */
    @Test
    void serviceThatManyVmsDoNotReachIsTriedAtIntervalsOnly() {
        Set<InetSocketAddress> asked = new HashSet<>();
        for (int i = 0; i < RelayTargets.EXHAUSTED_VMS; i++) {
            InetSocketAddress vm = choose("ledger", 0).orElseThrow();
            asked.add(vm);
            targets.notReached("ledger", vm, 0);
        }
        assertThat(asked).hasSize(RelayTargets.EXHAUSTED_VMS);
        assertThat(choose("ledger", 1)).isEmpty();
        InetSocketAddress tried = choose("ledger", RelayTargets.RETRY_NANOS).orElseThrow();
        assertThat(choose("ledger", RelayTargets.RETRY_NANOS + 1)).isEmpty();
        targets.reached("ledger", tried);
        assertThat(choose("ledger", RelayTargets.RETRY_NANOS + 2)).isPresent();
    }

    private Optional<InetSocketAddress> choose(String service, long nowNanos) {
        return targets.choose(
                service,
                Set.of(),
                excluded -> vms.stream().filter(vm -> !excluded.contains(vm)).findFirst(),
                nowNanos);
    }
}
