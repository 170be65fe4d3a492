/**
 * Drives a fleet of real daemons with the stand-ins: publishes tickets, injects faults and reads the status of the
 * daemons.
 */
package io.coppershelf.bench.fleet;
