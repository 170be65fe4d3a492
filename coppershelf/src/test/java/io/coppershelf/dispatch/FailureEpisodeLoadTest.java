package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import io.coppershelf.dispatch.FailureEpisodeSimulation.Fleet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests lost at servers that answer most requests with a fast 500 for some seconds while their probes
 * succeed.
 */
final class FailureEpisodeLoadTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int SEED = 1;

    /** Guards against more than two failed requests for each episode; with 474 requests/s at the peak of a wave. */
    @ParameterizedTest
    @CsvSource({"37, 237", "93, 237", "37, 474", "93, 474"})
    void episodeFailsAtMostTwoRequestsThatCannotBeRetried(int vms, double perSecond) {
        FailureEpisodeResult run = new FailureEpisodeSimulation(
                        new Fleet(vms, 66, 2, perSecond, 140 * MILLI, 0.3, 9 * SECOND, 5 * SECOND / 2), SEED)
                .result();
        assertWithMessage(run.toString()).that(run.failuresPerEpisode()).isAtMost(2.0);
        assertWithMessage(run.toString()).that(run.refusedShare()).isEqualTo(0.0);
        assertWithMessage(run.toString()).that(run.idleShare()).isEqualTo(0.0);
    }

    /** Guards against worse service of a small fleet whose servers have many slots and long requests. */
    @Test
    void smallFleetKeepsTheFloorAndRefusesNothing() {
        FailureEpisodeResult run = smallFleet(0.3);
        assertWithMessage(run.toString()).that(run.failuresPerEpisode()).isAtMost(2.0);
        assertWithMessage(run.toString()).that(run.refusedShare()).isEqualTo(0.0);
        assertWithMessage(run.toString()).that(run.brokenFloorShare()).isEqualTo(0.0);
    }

    /** Guards against healthy servers that lose their requests after single failures. */
    @Test
    void smallFleetWithoutEpisodesUsesAllServers() {
        FailureEpisodeResult run = smallFleet(0);
        assertWithMessage(run.toString()).that(run.idleShare()).isEqualTo(0.0);
        assertWithMessage(run.toString()).that(run.refusedShare()).isEqualTo(0.0);
    }

    private static FailureEpisodeResult smallFleet(double failingShare) {
        return new FailureEpisodeSimulation(
                        new Fleet(36, 14, 6, 55, 500 * MILLI, failingShare, 9 * SECOND, 5 * SECOND / 2), SEED)
                .result();
    }
}
