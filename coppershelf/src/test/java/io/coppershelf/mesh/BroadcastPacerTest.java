package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Scenario: an update of the catalog goes to a fleet of 91 VMs over the narrowest link of the deployments. */
final class BroadcastPacerTest {
    private static final int VMS = 91;
    /** An update with seven servers that leave. */
    private static final int UPDATE_BYTES = 500;

    private static final long LINK_BYTES_PER_SECOND = 7_000_000 / 8;
    /** The bytes that the link's queue holds; it drops further datagrams. */
    private static final double QUEUE_BYTES = 16 * 1024;

    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final BroadcastPacer pacer = new BroadcastPacer();

    /** Guards against a fleet whose last VMs never receive an update, because its burst overflows the sender's link. */
    @Test
    void updateToALargeFleetPassesANarrowLink() {
        assertThat(dropped(List.of(pacer.plan(VMS - 1, UPDATE_BYTES, 0)), List.of(0L)))
                .isEqualTo(0);
    }

    @Test
    void updatesThatFollowEachOtherPassTheLinkAndKeepTheirOrder() {
        List<List<BroadcastPacer.Batch>> plans = new ArrayList<>();
        List<Long> times = new ArrayList<>();
        for (long at = 0; at < SECOND; at += SECOND / 4) {
            plans.add(pacer.plan(VMS - 1, UPDATE_BYTES, at));
            times.add(at);
        }
        assertThat(dropped(plans, times)).isEqualTo(0);
        for (int i = 1; i < plans.size(); i++) {
            List<BroadcastPacer.Batch> before = plans.get(i - 1);
            long lastBefore = times.get(i - 1) + before.get(before.size() - 1).delayNanos();
            assertThat(times.get(i) + plans.get(i).get(0).delayNanos()).isAtLeast(lastBefore);
        }
    }

    @Test
    void allReceiversGetTheMessageWithinAQuarterOfASecond() {
        List<BroadcastPacer.Batch> plan = pacer.plan(VMS - 1, UPDATE_BYTES, 0);
        assertThat(plan.stream().mapToInt(BroadcastPacer.Batch::count).sum()).isEqualTo(VMS - 1);
        assertThat(plan.get(plan.size() - 1).delayNanos()).isAtMost(SECOND / 4);
    }

    @Test
    void messageToASmallFleetIsSentAtOnce() {
        assertThat(pacer.plan(35, 150, 0)).containsExactly(new BroadcastPacer.Batch(0, 35));
    }

    @Test
    void messageWithoutReceiversHasNoBatches() {
        assertThat(pacer.plan(0, UPDATE_BYTES, 0).stream()
                        .mapToInt(BroadcastPacer.Batch::count)
                        .sum())
                .isEqualTo(0);
    }

    /** Returns the number of datagrams that a link with a bounded queue drops. */
    private static int dropped(List<List<BroadcastPacer.Batch>> plans, List<Long> times) {
        double queued = 0;
        long last = 0;
        int dropped = 0;
        for (int i = 0; i < plans.size(); i++) {
            for (BroadcastPacer.Batch batch : plans.get(i)) {
                long at = times.get(i) + batch.delayNanos();
                queued = Math.max(0, queued - (at - last) * (double) LINK_BYTES_PER_SECOND / SECOND);
                last = at;
                for (int datagram = 0; datagram < batch.count(); datagram++) {
                    if (queued + UPDATE_BYTES > QUEUE_BYTES) {
                        dropped++;
                    } else {
                        queued += UPDATE_BYTES;
                    }
                }
            }
        }
        return dropped;
    }
}
