/**
 * Passive health checks of backend servers: suspicion, ejection and probation, decided from the results and latencies
 * of real requests. Free of I/O and clocks.
 */
package io.coppershelf.health;
