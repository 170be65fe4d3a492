/** Drives a fleet of real daemons with the stand-ins: publishes tickets, switches faults, reads the daemons' status. */
package io.coppershelf.bench.fleet;
