/**
 * Passive health checks of backend servers: suspicion, ejection and probation, decided from the results and latencies
 * of real requests. Pure decisions without input or output.
 */
package io.coppershelf.health;
