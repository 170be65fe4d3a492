package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.CatalogChange;
import io.coppershelf.catalog.CatalogReader;
import io.coppershelf.catalog.CatalogRevision;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.eventlog.EventLog;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Guards against a VM that never reads the platform again after a result that it could not apply. */
final class PlatformReadingsTest {
    private static final long LATER = TimeUnit.MINUTES.toNanos(1);

    private final RecordingReader reader = new RecordingReader();
    private final List<String> logged = new ArrayList<>();
    private final EventLog log = (importance, event, fields) -> logged.add(event);
    private final ThrowingReceiver receiver = new ThrowingReceiver();
    private final PlatformReadings readings = new PlatformReadings(
            reader, new PlatformReadSchedule(new Random(1)), () -> ServerList.EMPTY, receiver, log);

    @Test
    void changeThatCannotBeAppliedIsFollowedByACompleteReading() {
        readings.receivedComplete();
        poll();
        reader.succeed();
        poll();
        assertThat(reader.calls).containsExactly("changes", "complete").inOrder();
        assertThat(logged).containsExactly("platform-change-not-applied");
    }

    @Test
    void readingsGoOnAfterAResultThatCanBeApplied() {
        receiver.isFailing = false;
        poll();
        reader.succeed();
        poll();
        assertThat(reader.calls).containsExactly("complete", "changes").inOrder();
    }

    @Test
    void readingThatCannotBeStartedIsFollowedByAnother() {
        reader.isBroken = true;
        poll();
        reader.isBroken = false;
        poll();
        assertThat(reader.calls).containsExactly("complete", "complete").inOrder();
    }

    @Test
    void secondResultOfAReadingIsIgnored() {
        receiver.isFailing = false;
        poll();
        reader.succeed();
        CatalogReader.Listener first = reader.last;
        poll();
        first.readFailed(CatalogReader.Failure.HISTORY_LOST, "late");
        assertThat(readings.needsComplete()).isFalse();
        poll();
        assertThat(reader.calls).containsExactly("complete", "changes").inOrder();
    }

    @Test
    void onlyOneReadingIsInProgress() {
        poll();
        poll();
        assertThat(reader.calls).containsExactly("complete");
    }

    private void poll() {
        readings.poll(0, LATER, System.nanoTime() + LATER);
    }

    private static final class ThrowingReceiver implements PlatformReadings.Receiver {
        private boolean isFailing = true;

        @Override
        public void read(CatalogChange change, ServerList requested) {
            if (isFailing) {
                throw new IllegalStateException("can't be applied");
            }
        }

        @Override
        public void notRead(String reason) {
            // Not needed here.
        }
    }

    private static final class RecordingReader implements CatalogReader {
        private final List<String> calls = new ArrayList<>();
        private Listener last;
        private boolean isBroken;

        void succeed() {
            last.readSucceeded(CatalogChange.complete(ServerList.EMPTY, Optional.empty()));
        }

        @Override
        public void readAll(Listener listener) {
            calls.add("complete");
            last = listener;
            if (isBroken) {
                throw new IllegalStateException("can't be started");
            }
        }

        @Override
        public void readChanges(CatalogRevision revision, Duration wait, Listener listener) {
            calls.add("changes");
            last = listener;
        }

        @Override
        public void readConfigurationAllowingStale(
                long version, Consumer<FleetConfiguration> onRead, Runnable onFailure) {
            onFailure.run();
        }
    }
}
