package io.coppershelf.mesh;

import io.coppershelf.catalog.FleetConfiguration;
import java.util.function.Consumer;

/**
 * Fetches snapshots and rejects those without tenants where a deployment has tenants: they come from a VM of a build
 * that does not know tenants, and its configuration would admit callers without a key.
 */
final class CompleteSnapshots implements SnapshotSource {
    private final SnapshotSource source;
    private final boolean needsTenants;

    CompleteSnapshots(SnapshotSource source, boolean needsTenants) {
        this.source = source;
        this.needsTenants = needsTenants;
    }

    @Override
    public void fetch(Consumer<Snapshot> onRead, Consumer<String> onFailure) {
        source.fetch(
                snapshot -> {
                    if (isComplete(snapshot)) {
                        onRead.accept(snapshot);
                    } else {
                        onFailure.accept("the snapshot has no tenants");
                    }
                },
                onFailure);
    }

    private boolean isComplete(Snapshot snapshot) {
        return !needsTenants
                || snapshot.content()
                        .configuration()
                        .map(FleetConfiguration::tenants)
                        .map(tenants -> tenants.isPresent())
                        .orElse(true);
    }
}
