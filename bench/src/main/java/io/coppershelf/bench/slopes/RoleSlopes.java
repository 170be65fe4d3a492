package io.coppershelf.bench.slopes;

import io.coppershelf.claim.internal.ClaimTable;
import io.coppershelf.claim.internal.RequestDigest;
import io.coppershelf.operator.Timeline;
import io.coppershelf.operator.internal.HybridLogicalClock;
import io.coppershelf.operator.internal.TimelineBuffer;
import java.time.Duration;
import java.util.List;
import java.util.function.IntFunction;

/** Costs of the roles of a daemon other than proxying requests: claims, the time line and the floor leases. */
final class RoleSlopes {
    private static final int CLAIM_CAPACITY = 1_000_000;
    private static final int MEASURED_CLAIMS = 50_000;
    private static final Duration REMAINING = Duration.ofSeconds(2);

    private RoleSlopes() {}

    static List<CostSeries> all() {
        return List.of(
                memory("claim memory per attempt", RoleSlopes::claimTable, 12_500, 25_000, 50_000),
                new CostSeries(
                        "processor time of a claim at one holder, by claims held",
                        "us",
                        new int[] {12_500, 25_000, 50_000},
                        RoleSlopes::claimMicros),
                memory("time line memory per event", RoleSlopes::timelineBuffer, 1024, 2048, 4096),
                new CostSeries(
                        "floor bytes sent per second over all voters, by services",
                        "B/s",
                        new int[] {20, 40, 80},
                        FloorTraffic::bytesPerSecond));
    }

    private static CostSeries memory(String name, IntFunction<Object> creation, int... sizes) {
        return new CostSeries(name, "bytes", sizes, size -> HeapMeter.retainedBytes(() -> creation.apply(size)));
    }

    private static ClaimTable claimTable(int count) {
        ClaimTable table = new ClaimTable(CLAIM_CAPACITY);
        for (int i = 0; i < count; i++) {
            claim(table, "held", i);
        }
        return table;
    }

    private static double claimMicros(int held) {
        ClaimTable table = claimTable(held);
        return CpuMeter.microsPerRun(MEASURED_CLAIMS, run -> claim(table, "new", run));
    }

    private static void claim(ClaimTable table, String prefix, long index) {
        String key = prefix + "-" + Long.toHexString(index * 0x9E3779B97F4A7C15L);
        table.claim(key, new RequestDigest(index, ~index), "vm-17-1796000000000-" + index, REMAINING, index);
    }

    private static TimelineBuffer timelineBuffer(int events) {
        TimelineBuffer buffer = new TimelineBuffer(
                new HybridLogicalClock(io.coppershelf.component.TimeSource.system()), "vm-17", events);
        for (int i = 0; i < events; i++) {
            buffer.record(Timeline.Event.of("health", "Server is suspected: oldest request is " + i + " ms old.")
                    .ofService("service-" + i)
                    .ofServer("server-" + i));
        }
        return buffer;
    }
}
