package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.CatalogReader;
import io.coppershelf.catalog.CatalogRevision;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.eventlog.EventLog;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Scenario: a configuration is published while the platform refuses the requests of this VM. */
final class ConfigurationFetcherTest {
    private final List<Long> pauses = new ArrayList<>();
    private final Deque<Runnable> delayed = new ArrayDeque<>();
    private final FakeReader platform = new FakeReader();
    private Optional<Snapshot> peer = Optional.empty();
    private long inForce;

    @Test
    void announcedConfigurationIsReadFromThePlatform() {
        platform.configuration = Optional.of(Snapshots.configuration(5));
        fetcher().announced(5);
        assertThat(inForce).isEqualTo(5);
        assertThat(delayed).isEmpty();
    }

    @Test
    void configurationThatIsInForceIsNotReadAgain() {
        inForce = 5;
        fetcher().announced(5);
        assertThat(platform.calls).isEqualTo(0);
    }

    @Test
    void vmThatThePlatformRefusesFetchesTheConfigurationFromAnother() {
        peer = Optional.of(Snapshots.of(5));
        fetcher().announced(5);
        assertThat(inForce).isEqualTo(5);
    }

    @Test
    void olderConfigurationOfAnotherVmIsNotApplied() {
        inForce = 4;
        peer = Optional.of(Snapshots.of(4));
        fetcher().announced(5);
        assertThat(inForce).isEqualTo(4);
        assertThat(delayed).hasSize(1);
    }

    @Test
    void newerButNotNewestConfigurationIsAppliedAndTheNewestStillFetched() {
        inForce = 3;
        peer = Optional.of(Snapshots.of(4));
        fetcher().announced(5);
        assertThat(inForce).isEqualTo(4);
        peer = Optional.of(Snapshots.of(5));
        delayed.remove().run();
        assertThat(inForce).isEqualTo(5);
    }

    @Test
    void pausesBetweenRetriesGrowToTheirLimit() {
        fetcher().announced(5);
        for (int i = 0; i < 5; i++) {
            delayed.remove().run();
        }
        assertThat(pauses)
                .containsExactly(150L, 300L, 600L, 1200L, 1200L, 1200L)
                .inOrder();
    }

    @Test
    void nextRetryRequestsTheConfigurationThatWasAnnouncedDuringThePause() {
        ConfigurationFetcher fetcher = fetcher();
        fetcher.announced(5);
        fetcher.announced(6);
        assertThat(platform.calls).isEqualTo(1);
        delayed.remove().run();
        assertThat(platform.requestedVersion).isEqualTo(6);
        assertThat(fetcher.newestAnnounced()).isEqualTo(6);
    }

    /** Guards against a VM that starts from an old copy and accepts keys that all others refuse. */
    @Test
    void configurationThatWasFoundToBeOldDuringTheStartIsNotSufficient() {
        ConfigurationFetcher fetcher = fetcher();
        inForce = 5;
        assertThat(fetcher.isSufficient()).isTrue();
        fetcher.announced(7);
        assertThat(fetcher.isSufficient()).isFalse();
        inForce = 6;
        fetcher.started();
        delayed.removeLast().run();
        assertThat(fetcher.isSufficient()).isFalse();
        inForce = 7;
        assertThat(fetcher.isSufficient()).isTrue();
    }

    /** Guards against a running VM that refuses all callers for as long as it fetches a new configuration. */
    @Test
    void configurationOfARunningVmStaysSufficientWhileANewerOneIsFetched() {
        ConfigurationFetcher fetcher = fetcher();
        inForce = 5;
        fetcher.started();
        delayed.remove().run();
        fetcher.announced(7);
        assertThat(fetcher.isSufficient()).isTrue();
        assertThat(fetcher.newestAnnounced()).isEqualTo(7);
    }

    /** Guards against keys of an old snapshot that are accepted until its newer configuration is fetched. */
    @Test
    void versionThatASnapshotStatesIsRequiredBeforeItsConfigurationIsInForce() {
        ConfigurationFetcher fetcher = fetcher();
        fetcher.record(7);
        inForce = 5;
        assertThat(fetcher.isSufficient()).isFalse();
        assertThat(platform.calls).isEqualTo(0);
    }

    /** Guards against a VM that starts from a store that was restored, and a VM without others that never serves. */
    @Test
    void configurationOfARestoredStoreIsSufficientOnceAnotherVmAnnouncesNoneThatIsNewerOrTheStartEnds() {
        ConfigurationFetcher fetcher = fetcher();
        fetcher.requireAnnouncement();
        inForce = 5;
        assertThat(fetcher.isSufficient()).isFalse();
        fetcher.announced(5);
        assertThat(fetcher.isSufficient()).isTrue();
        ConfigurationFetcher alone = fetcher();
        alone.requireAnnouncement();
        alone.started();
        delayed.remove().run();
        assertThat(alone.isSufficient()).isTrue();
    }

    private ConfigurationFetcher fetcher() {
        return new ConfigurationFetcher(
                platform,
                (onRead, onFailure) -> peer.ifPresentOrElse(onRead, () -> onFailure.accept("no other VM is known")),
                (millis, action) -> {
                    pauses.add(millis);
                    delayed.add(action);
                },
                () -> inForce,
                configuration -> inForce = configuration.version(),
                EventLog.NONE);
    }

    /** A platform that has one configuration, or refuses. */
    private static final class FakeReader implements CatalogReader {
        private Optional<FleetConfiguration> configuration = Optional.empty();
        private int calls;
        private long requestedVersion;

        @Override
        public void readAll(Listener listener) {
            throw new UnsupportedOperationException("not read here");
        }

        @Override
        public void readChanges(CatalogRevision revision, Duration wait, Listener listener) {
            throw new UnsupportedOperationException("not read here");
        }

        @Override
        public void readConfigurationAllowingStale(
                long version, Consumer<FleetConfiguration> onRead, Runnable onFailure) {
            calls++;
            requestedVersion = version;
            configuration.ifPresentOrElse(onRead, onFailure);
        }
    }
}
