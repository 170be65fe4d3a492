package io.coppershelf.bench.slopes;

import io.coppershelf.admission.GroupAction;
import io.coppershelf.admission.GroupEvent;
import io.coppershelf.admission.GroupName;
import io.coppershelf.admission.ServerGroup;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.ticket.ServerSpec;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** Costs of a server group for its owner: memory per server, and processor time per tick and per request. */
final class GroupSlopes {
    private static final int RUNS = 20_000;
    private static final long TICK_NANOS = Duration.ofMillis(50).toNanos();
    private static final long DEADLINE_NANOS = Duration.ofSeconds(2).toNanos();
    private static final GroupName NAME = new GroupName("service-0", "region-0-dc-0");

    private GroupSlopes() {}

    static List<CostSeries> all() {
        int[] sizes = {19, 38, 76};
        return List.of(
                new CostSeries(
                        "server group memory per server",
                        "bytes",
                        sizes,
                        size -> HeapMeter.retainedBytes(() -> groupAfterRequests(size))),
                new CostSeries(
                        "processor time of a tick, by servers of the group", "us", sizes, GroupSlopes::tickMicros),
                new CostSeries(
                        "processor time of a request, by servers of the group",
                        "us",
                        sizes,
                        GroupSlopes::requestMicros));
    }

    private static ServerGroup group(int servers) {
        ServerGroup group = ServerGroup.create(NAME, new SplittableRandom(1));
        List<ServerSpec> specs = IntStream.range(0, servers)
                .mapToObj(i -> SampleObjects.server(i * 3200))
                .toList();
        group.on(new GroupEvent.Configured(SampleObjects.service(0), specs), 0);
        return group;
    }

    private static ServerGroup groupAfterRequests(int servers) {
        ServerGroup group = group(servers);
        for (long run = 0; run < RUNS; run++) {
            serve(group, run, run * 100_000);
        }
        return group;
    }

    private static double tickMicros(int servers) {
        ServerGroup group = groupAfterRequests(servers);
        return CpuMeter.microsPerRun(RUNS, run -> group.on(new GroupEvent.Tick(), RUNS * 100_000L + run * TICK_NANOS));
    }

    private static double requestMicros(int servers) {
        ServerGroup group = group(servers);
        return CpuMeter.microsPerRun(RUNS, run -> serve(group, run, run * 1_000_000));
    }

    private static void serve(ServerGroup group, long run, long nowNanos) {
        String attemptId = "try-" + run;
        GroupEvent arrival =
                new GroupEvent.AttemptArrived(attemptId, "service-0/kind-1", true, 1, nowNanos + DEADLINE_NANOS, false);
        List<GroupAction> actions = group.on(arrival, nowNanos);
        if (actions.stream().noneMatch(GroupAction.Dispatch.class::isInstance)) {
            throw new IllegalStateException("expected a dispatch but got " + actions);
        }
        group.on(
                new GroupEvent.AttemptEnded(attemptId, Optional.of(200), Optional.empty(), ServerState.READY),
                nowNanos + 50_000);
    }
}
