package io.coppershelf.bench.slopes;

import io.coppershelf.claim.internal.ClaimTable;
import io.coppershelf.claim.internal.RequestDigest;
import io.coppershelf.operator.Timeline;
import io.coppershelf.operator.internal.HybridLogicalClock;
import io.coppershelf.operator.internal.TimelineBuffer;
import java.time.Duration;
import java.util.List;
import java.util.function.IntFunction;

/** What the roles of a daemon cost beside traffic: claims, the time line, the floor's leases. */
final class RoleSlopes {
    private static final int CLAIM_CAPACITY = 1_000_000;
    private static final int CLAIMS = 50_000;
    private static final Duration REMAINING = Duration.ofSeconds(2);

    private RoleSlopes() {}

    static List<Slope> all() {
        return List.of(
                memory("claim memory per attempt", RoleSlopes::claims, 12_500, 25_000, 50_000),
                new Slope(
                        "processor time of a claim at one holder, by claims held",
                        "us",
                        new int[] {12_500, 25_000, 50_000},
                        RoleSlopes::claimMicros),
                memory("time line memory per event", RoleSlopes::timeline, 1024, 2048, 4096),
                new Slope(
                        "floor bytes sent per second over all voters, by services",
                        "B/s",
                        new int[] {20, 40, 80},
                        FloorTraffic::bytesPerSecond));
    }

    private static Slope memory(String name, IntFunction<Object> creation, int... sizes) {
        return new Slope(name, "bytes", sizes, size -> HeapMeter.retainedBytes(() -> creation.apply(size)));
    }

    private static ClaimTable claims(int count) {
        ClaimTable table = new ClaimTable(CLAIM_CAPACITY);
        for (int i = 0; i < count; i++) {
            claim(table, "held", i);
        }
        return table;
    }

    private static double claimMicros(int held) {
        ClaimTable table = claims(held);
        return CpuMeter.microsPerRun(CLAIMS, run -> claim(table, "new", run));
    }

    private static void claim(ClaimTable table, String prefix, long index) {
        String key = prefix + "-" + Long.toHexString(index * 0x9E3779B97F4A7C15L);
        table.claim(key, new RequestDigest(index, ~index), "vm-17-1796000000000-" + index, REMAINING, index);
    }

    private static TimelineBuffer timeline(int events) {
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
