/**
 * Health estimates of the backend servers: the probability that a server fails requests although it answers probes. The
 * estimates derive from the outcomes of real requests, pooled over all VMs. The code is free of I/O and clocks:
 * observations and times in, probabilities out.
 */
package io.coppershelf.health.estimate;
