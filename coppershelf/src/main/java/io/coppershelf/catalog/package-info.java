/**
 * The configuration and the servers of the fleet as immutable values: routes, services, backend servers and the limits
 * for callers. Each value carries the revision at which the platform published it, so that an older one never replaces
 * a newer one.
 */
package io.coppershelf.catalog;
