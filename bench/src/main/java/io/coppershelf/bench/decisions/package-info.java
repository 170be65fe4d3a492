/**
 * Measures the decisions for server groups (admission, dispatch and ejection) by simulation in virtual time. Each run
 * simulates the servers and entry VMs of one service, with fakes at the interfaces and a fixed seed.
 */
package io.coppershelf.bench.decisions;
