package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.Catalog;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.dispatch.FleetLoad;
import io.coppershelf.dispatch.IdleServerTracker;
import io.coppershelf.dispatch.ServerChooser;
import io.coppershelf.dispatch.ServerLimits;
import io.coppershelf.dispatch.ServerPaths;
import io.coppershelf.dispatch.ServerReachability;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.health.estimate.HealthEstimates;
import io.coppershelf.testing.Catalogs;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class PathObserverTest {
    private final List<BackendServer> servers = IntStream.range(0, 6)
            .mapToObj(i -> Catalogs.server("i-" + i, "here"))
            .toList();
    private final FakeControlState state = new FakeControlState();
    private final ServerReachability reachability = new ServerReachability(new Random(1));
    private final ServerPaths paths = new ServerPaths();
    private final PathObserver observer = new PathObserver(
            reachability,
            paths,
            new ServerChooser(
                    "here",
                    new HealthEstimates(),
                    new FleetLoad(),
                    new IdleServerTracker(),
                    new ServerLimits(),
                    state::fleetPosition,
                    new Random(1)),
            state,
            EventLog.NONE,
            () -> {});

    PathObserverTest() {
        state.use(new Catalog(Optional.empty(), ServerList.of(Catalogs.revision(1), servers)));
    }

    /**
     * Guards against a VM that is cut off again right after its paths are back, by checks of servers since replaced.
     */
    @Test
    void failuresOfServersThatWereReplacedShowNothing() {
        List<BackendServer> replaced = servers.stream()
                .map(server -> new BackendServer(
                        server.id(), 0, server.service(), server.address(), server.dataCentre(), 6, true, 0))
                .toList();
        replaced.forEach(observer::failed);
        assertThat(reachability.isInDoubt()).isFalse();
        assertThat(paths.isAllClear()).isTrue();
    }

    /** Guards against a VM that counts as cut off by the background checks of paths that are known to be down. */
    @Test
    void checksOfPathsThatAreDownDoNotCutTheVmOff() {
        for (int i = 0; i < 3; i++) {
            observer.failed(servers.get(i));
        }
        paths.pollChecks(System.nanoTime()).forEach(observer::failed);
        assertThat(reachability.isCutOff()).isFalse();
        assertThat(paths.isUnreachable(servers.get(5))).isTrue();
    }
}
