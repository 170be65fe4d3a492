package io.coppershelf.bench.slopes;

import io.coppershelf.membership.Vm;
import io.coppershelf.membership.internal.FleetSnapshot;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/** Costs of the fleet view: memory per VM, and processor time of one ranking. */
final class FleetSlopes {
    private static final int MEASURED_RANKINGS = 500;
    private static final int VOTERS = 5;

    private FleetSlopes() {}

    static List<CostSeries> all() {
        int[] sizes = {1850, 3700, 7400};
        return List.of(
                new CostSeries(
                        "fleet view memory per VM", "bytes", sizes, size -> HeapMeter.retainedBytes(() -> view(size))),
                new CostSeries("processor time of one ranking, by VMs", "us", sizes, FleetSlopes::rankingMicros));
    }

    private static FleetSnapshot view(int size) {
        List<Vm> others = IntStream.range(1, size).mapToObj(SampleObjects::vm).toList();
        return new FleetSnapshot(SampleObjects.vm(0), others, Set.of());
    }

    private static double rankingMicros(int size) {
        FleetSnapshot view = view(size);
        return CpuMeter.microsPerRun(MEASURED_RANKINGS, run -> view.ranked("claim/key-" + run, "", VOTERS));
    }
}
