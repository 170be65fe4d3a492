package io.coppershelf.mesh;

import io.coppershelf.catalog.CatalogChange;
import java.util.Set;

/**
 * The catalog in force on a VM, for another VM that can't read the platform.
 *
 * @param announcedConfiguration the version of the newest configuration that was announced to the VM, which may still
 *     be fetching it
 * @param content configuration and servers, as a complete reading
 * @param leaving the keys of the servers that announced that they leave
 */
record Snapshot(long announcedConfiguration, CatalogChange content, Set<String> leaving) {
    /** Copies the keys. */
    Snapshot {
        leaving = Set.copyOf(leaving);
    }
}
