package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.dispatch.ServerPaths;
import io.coppershelf.dispatch.ServerReachability;
import io.coppershelf.testing.Catalogs;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a lost path that is noticed later than with a check every 50 ms. */
final class PathCheckTimerTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final BackendServer server = Catalogs.server("i-1", "here");
    private final ServerReachability reachability = new ServerReachability(new Random(1));
    private final ServerPaths paths = new ServerPaths();

    @Test
    void theNextRunIsDueWithTheFirstSilenceThatARequestCanMeet() {
        assertThat(delayMillis(1000)).isEqualTo(800);
        reachability.requestSent(1500 * MILLI);
        assertThat(delayMillis(1800)).isEqualTo(500);
        assertThat(reachability.pollChecks(() -> List.of(server), 2299 * MILLI)).isEmpty();
        assertThat(reachability.pollChecks(() -> List.of(server), 2300 * MILLI)).hasSize(1);
    }

    @Test
    void checksAreFrequentWhileAPathIsDownOrInDoubt() {
        paths.connectFailed(server, List::of, 0);
        assertThat(delayMillis(1000)).isEqualTo(50);
        paths.connected(server, 0);
        assertThat(delayMillis(1000)).isEqualTo(800);
        reachability.connectFailed("i-1", 5);
        assertThat(delayMillis(1000)).isEqualTo(50);
        reachability.connected("i-1", 0);
        assertThat(delayMillis(1000)).isEqualTo(800);
    }

    private long delayMillis(long nowMillis) {
        return PathCheckTimer.delayNanos(reachability, paths, nowMillis * MILLI) / MILLI;
    }
}
