package io.coppershelf.mesh;

import io.coppershelf.catalog.CatalogChange;

/**
 * The catalog in force on a VM, for another VM that can't read the platform.
 *
 * @param announcedConfiguration the revision of the newest configuration that was announced to the VM, which may still
 *     be fetching it
 * @param content configuration and servers, as a complete reading
 */
record Snapshot(long announcedConfiguration, CatalogChange content) {}
