package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class RequestTurnsTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final FleetPosition FIRST_OF_TEN = new FleetPosition(0, 10);

    /** The time between the turns of a VM of ten at a server with a limit of one a second. */
    private static final long INTERVAL = 10 * SECOND;

    private final RequestTurns turns = new RequestTurns(1, FIRST_OF_TEN, 0);

    @Test
    void vmsTakeTurnsInTheOrderOfTheirRanks() {
        RequestTurns last = new RequestTurns(1, new FleetPosition(9, 10), 0);
        assertThat(turns.isOpen(SECOND)).isTrue();
        assertThat(last.isOpen(SECOND)).isFalse();
        assertThat(last.isOpen(12 * SECOND)).isTrue();
    }

    @Test
    void turnIsUsedOnce() {
        turns.use(SECOND);
        assertThat(turns.isOpen(SECOND)).isFalse();
        assertThat(turns.isOpen(INTERVAL + SECOND)).isTrue();
    }

    /** Guards against turns that many VMs saved up and use together. */
    @Test
    void unusedTurnIsLost() {
        assertThat(turns.isOpen(SECOND + RequestTurns.OPEN_NANOS)).isFalse();
        assertThat(turns.isOpen(INTERVAL + SECOND)).isTrue();
    }

    @Test
    void lowerLimitDelaysTheNextTurn() {
        turns.use(SECOND);
        turns.update(0.5, FIRST_OF_TEN, SECOND);
        assertThat(turns.isOpen(INTERVAL + 2 * SECOND)).isFalse();
        assertThat(turns.isOpen(2 * INTERVAL + SECOND)).isTrue();
    }

    @Test
    void highLimitLeavesTheServerOpenMostOfTheTime() {
        RequestTurns fast = new RequestTurns(1000, new FleetPosition(0, 1), 0);
        int sent = 0;
        for (long now = 0; now < SECOND; now += SECOND / 10_000) {
            if (fast.isOpen(now)) {
                fast.use(now);
                sent++;
            }
        }
        assertThat(sent).isAtLeast(990);
        assertThat(sent).isAtMost(1001);
    }
}
