/** Simulated backend servers and platform, load generator and benchmarks; not part of the shipped jar. */
package io.coppershelf.bench;
