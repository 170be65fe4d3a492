package io.coppershelf.mesh;

import io.coppershelf.catalog.CatalogChange;
import io.coppershelf.catalog.CatalogReader;
import io.coppershelf.catalog.CatalogRevision;
import io.coppershelf.catalog.FleetConfiguration;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** A platform that has one state of everything, or refuses. */
final class FakePlatform implements CatalogReader {
    volatile Optional<Snapshot> snapshot;

    FakePlatform(Optional<Snapshot> snapshot) {
        this.snapshot = snapshot;
    }

    @Override
    public void readAll(Listener listener) {
        snapshot.ifPresentOrElse(
                current -> listener.readSucceeded(current.content()),
                () -> listener.readFailed(Failure.UNAVAILABLE, "refused"));
    }

    @Override
    public void readChanges(CatalogRevision revision, Duration wait, Listener listener) {
        boolean isRestored = snapshot.filter(
                        current -> !current.content().revision().isSameEra(revision))
                .isPresent();
        if (isRestored) {
            listener.readFailed(Failure.HISTORY_LOST, "restored");
            return;
        }
        snapshot.ifPresentOrElse(
                current -> listener.readSucceeded(new CatalogChange(
                        revision,
                        current.content().revision(),
                        current.content().configuration(),
                        List.of(),
                        current.content().removed())),
                () -> listener.readFailed(Failure.UNAVAILABLE, "refused"));
    }

    @Override
    public void readConfigurationAllowingStale(long version, Consumer<FleetConfiguration> onRead, Runnable onFailure) {
        snapshot.flatMap(current -> current.content().configuration())
                .filter(found -> found.version() >= version)
                .ifPresentOrElse(onRead, onFailure);
    }
}
