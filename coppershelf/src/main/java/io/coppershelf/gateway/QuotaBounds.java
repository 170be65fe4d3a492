package io.coppershelf.gateway;

import java.time.Duration;

/**
 * How far the requests of a tenant may exceed its usage cap over all VMs: in no window may more than (rate x window +
 * burst) x (1 + excess) + slack requests reach servers.
 *
 * @param window the length of the window, which slides
 * @param excess the tolerated share
 * @param slack the tolerated number of requests
 */
public record QuotaBounds(Duration window, double excess, double slack) {}
