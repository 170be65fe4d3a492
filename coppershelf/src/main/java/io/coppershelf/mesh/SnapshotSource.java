package io.coppershelf.mesh;

import java.util.function.Consumer;

/** Reads what is in force on another VM. */
interface SnapshotSource {
    /** Asks one live VM. Exactly one of the two is called, on the control thread. */
    void fetch(Consumer<Snapshot> onRead, Consumer<String> onFailure);
}
