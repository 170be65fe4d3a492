package io.coppershelf.membership.internal;

import com.google.common.hash.Hashing;
import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** A snapshot of the live VMs, with precomputed hashes for ranking. */
public final class FleetSnapshot implements FleetView {
    private static final Comparator<Candidate> BEST_FIRST = Comparator.comparing(Candidate::isPreferred)
            .thenComparingLong(Candidate::score)
            .reversed()
            .thenComparing(candidate -> candidate.vm().id());

    private final Vm self;
    private final Map<String, Vm> byId = new TreeMap<>();
    private final List<Vm> vms;
    private final List<Vm> placeable;
    private final long[] placeableHashes;
    private final Set<String> reachable;
    private final int goneByProbes;
    private final List<Vm> listed;

    /**
     * Creates a snapshot.
     *
     * @param self this VM
     * @param others the other live VMs
     * @param reachable the ids of those that replied to the last probe
     */
    public FleetSnapshot(Vm self, Collection<Vm> others, Set<String> reachable) {
        this(self, others, reachable, 0, List.of());
    }

    /**
     * Creates a snapshot.
     *
     * @param goneByProbes the number of VMs that are gone by failed probes and not by the platform's VM list
     * @param listed the VMs of the platform's VM list; if empty, the live VMs are used instead
     */
    FleetSnapshot(Vm self, Collection<Vm> others, Set<String> reachable, int goneByProbes, List<Vm> listed) {
        this.self = self;
        others.forEach(vm -> byId.put(vm.id(), vm));
        byId.put(self.id(), self);
        vms = List.copyOf(byId.values());
        placeable = vms.stream().filter(vm -> !vm.leaving()).toList();
        placeableHashes = placeable.stream().mapToLong(vm -> hash(vm.id())).toArray();
        this.reachable = Set.copyOf(reachable);
        this.goneByProbes = goneByProbes;
        this.listed = listed.isEmpty() ? vms : List.copyOf(listed);
    }

    @Override
    public Vm self() {
        return self;
    }

    @Override
    public List<Vm> vms() {
        return vms;
    }

    @Override
    public Optional<Vm> vm(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    @Override
    public boolean isReachable(String id) {
        return id.equals(self.id()) || reachable.contains(id);
    }

    @Override
    public boolean hasMajority() {
        return vms.size() > goneByProbes;
    }

    @Override
    public List<Vm> ranked(String key, String preferredDataCentre, int limit) {
        long keyHash = hash(key);
        List<Candidate> best = new ArrayList<>();
        for (int i = 0; i < placeableHashes.length; i++) {
            Vm vm = placeable.get(i);
            boolean isPreferred = vm.dataCentre().equals(preferredDataCentre);
            keepBest(best, new Candidate(vm, isPreferred, mix(keyHash ^ placeableHashes[i])), limit);
        }
        return best.stream().map(Candidate::vm).toList();
    }

    @Override
    public List<Vm> rankedPublished(String key, int limit) {
        long keyHash = hash(key);
        List<Candidate> best = new ArrayList<>();
        listed.forEach(vm -> keepBest(best, new Candidate(vm, true, mix(keyHash ^ hash(vm.id()))), limit));
        return best.stream().map(Candidate::vm).toList();
    }

    private static void keepBest(List<Candidate> best, Candidate candidate, int limit) {
        int position = best.size();
        while (position > 0 && BEST_FIRST.compare(candidate, best.get(position - 1)) < 0) {
            position--;
        }
        if (position >= limit) {
            return;
        }
        best.add(position, candidate);
        if (best.size() > limit) {
            best.remove(limit);
        }
    }

    private static long hash(String text) {
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }

    /**
     * Mixes the bits of a number.
     *
     * @see <a href="https://doi.org/10.1145/2660193.2660195">Steele, Lea and Flood, Fast Splittable Pseudorandom Number
     *     Generators, 2014</a>
     */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    private record Candidate(Vm vm, boolean isPreferred, long score) {}
}
