/**
 * Measures the decisions for server groups in virtual time: one service's servers and entry VMs at a time, with fakes
 * at the interfaces and fixed seeds.
 */
package io.coppershelf.bench.decisions;
