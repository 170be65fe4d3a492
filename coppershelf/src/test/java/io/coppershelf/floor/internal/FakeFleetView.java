package io.coppershelf.floor.internal;

import com.google.common.hash.Hashing;
import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** A view of the fleet built from a list of VMs; ranks them by a hash of key and id. */
public record FakeFleetView(Vm self, List<Vm> vms, Set<String> unreachable) implements FleetView {
    /** Returns a VM with the given id and incarnation. */
    public static Vm vm(String id, long incarnation) {
        return new Vm(id, incarnation, "herning", "127.0.0.1", 1, 2, false);
    }

    @Override
    public Optional<Vm> vm(String id) {
        return vms.stream().filter(vm -> vm.id().equals(id)).findFirst();
    }

    @Override
    public boolean isReachable(String id) {
        return !unreachable.contains(id);
    }

    @Override
    public List<Vm> ranked(String key, String preferredDataCentre, int limit) {
        return vms.stream()
                .sorted(Comparator.comparing((Vm vm) -> score(key + '/' + vm.id()))
                        .thenComparing(Vm::id))
                .limit(limit)
                .toList();
    }

    private static long score(String text) {
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }
}
