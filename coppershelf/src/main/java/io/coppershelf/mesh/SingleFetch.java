package io.coppershelf.mesh;

import java.util.function.Consumer;

/** Fetches snapshots one at a time: a call while one is being fetched has no effect. Not thread-safe. */
final class SingleFetch implements SnapshotSource {
    private final SnapshotSource source;
    private boolean isFetching;

    SingleFetch(SnapshotSource source) {
        this.source = source;
    }

    @Override
    public void fetch(Consumer<Snapshot> onRead, Consumer<String> onFailure) {
        if (isFetching) {
            return;
        }
        isFetching = true;
        source.fetch(ended(onRead), ended(onFailure));
    }

    private <T> Consumer<T> ended(Consumer<T> listener) {
        return result -> {
            isFetching = false;
            listener.accept(result);
        };
    }
}
