package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.CatalogReader;
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

/** The load: a configuration is published while the platform refuses this VM. */
final class ConfigurationFetcherTest {
    private final List<Long> pauses = new ArrayList<>();
    private final Deque<Runnable> later = new ArrayDeque<>();
    private final FakeReader platform = new FakeReader();
    private Optional<Snapshot> peer = Optional.empty();
    private long inForce;

    @Test
    void announcedConfigurationIsReadFromThePlatform() {
        platform.configuration = Optional.of(Snapshots.configuration(5));
        fetch().announced(5);
        assertThat(inForce).isEqualTo(5);
        assertThat(later).isEmpty();
    }

    @Test
    void configurationThatIsInForceIsNotReadAgain() {
        inForce = 5;
        fetch().announced(5);
        assertThat(platform.calls).isEqualTo(0);
    }

    @Test
    void vmThatThePlatformRefusesGetsTheConfigurationFromAnother() {
        peer = Optional.of(Snapshots.of(5));
        fetch().announced(5);
        assertThat(inForce).isEqualTo(5);
    }

    @Test
    void olderConfigurationOfAnotherVmIsNotTaken() {
        inForce = 4;
        peer = Optional.of(Snapshots.of(4));
        fetch().announced(5);
        assertThat(inForce).isEqualTo(4);
        assertThat(later).hasSize(1);
    }

    @Test
    void newerButNotNewestConfigurationIsTakenAndTheNewestWantedOn() {
        inForce = 3;
        peer = Optional.of(Snapshots.of(4));
        fetch().announced(5);
        assertThat(inForce).isEqualTo(4);
        peer = Optional.of(Snapshots.of(5));
        later.remove().run();
        assertThat(inForce).isEqualTo(5);
    }

    @Test
    void pausesBetweenTriesGrowToTheirLimit() {
        fetch().announced(5);
        for (int i = 0; i < 5; i++) {
            later.remove().run();
        }
        assertThat(pauses)
                .containsExactly(150L, 300L, 600L, 1200L, 1200L, 1200L)
                .inOrder();
    }

    @Test
    void newerAnnouncementDuringAPauseIsWhatTheNextTryAsksFor() {
        ConfigurationFetcher fetch = fetch();
        fetch.announced(5);
        fetch.announced(6);
        assertThat(platform.calls).isEqualTo(1);
        later.remove().run();
        assertThat(platform.askedFor).isEqualTo(6);
        assertThat(fetch.newestAnnounced()).isEqualTo(6);
    }

    private ConfigurationFetcher fetch() {
        return new ConfigurationFetcher(
                platform,
                (onRead, onFailure) -> peer.ifPresentOrElse(onRead, () -> onFailure.accept("no other VM is known")),
                (millis, action) -> {
                    pauses.add(millis);
                    later.add(action);
                },
                () -> inForce,
                configuration -> inForce = configuration.revision(),
                EventLog.NONE);
    }

    /** A platform that has one configuration, or refuses. */
    private static final class FakeReader implements CatalogReader {
        private Optional<FleetConfiguration> configuration = Optional.empty();
        private int calls;
        private long askedFor;

        @Override
        public void readAll(Listener listener) {
            throw new UnsupportedOperationException("not read here");
        }

        @Override
        public void readChanges(long revision, Duration wait, Listener listener) {
            throw new UnsupportedOperationException("not read here");
        }

        @Override
        public void readConfigurationAllowingStale(
                long revision, Consumer<FleetConfiguration> onRead, Runnable onFailure) {
            calls++;
            askedFor = revision;
            configuration.ifPresentOrElse(onRead, onFailure);
        }
    }
}
