package io.coppershelf.mesh;

import java.util.function.Consumer;

/** Reads the catalog in force on another VM. */
interface SnapshotSource {
    /** Fetches a snapshot from one live VM. Exactly one of the callbacks is called, on the control thread. */
    void fetch(Consumer<Snapshot> onRead, Consumer<String> onFailure);
}
