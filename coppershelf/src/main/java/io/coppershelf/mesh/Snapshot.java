package io.coppershelf.mesh;

import io.coppershelf.catalog.CatalogChange;

/**
 * What a VM has in force, for one that can't read the platform.
 *
 * @param announcedConfiguration the revision of the newest configuration that the VM has heard of; it may still be
 *     fetching it
 * @param content configuration and servers, as a complete reading
 */
record Snapshot(long announcedConfiguration, CatalogChange content) {}
