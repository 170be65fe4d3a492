/**
 * Stand-ins for backend servers, with fault injection and a log of the work that they ran.
 *
 * <p>All servers of a ticket run in one process, each on its own address. An admin port injects faults and reports
 * executions.
 */
package io.coppershelf.bench.backend;
