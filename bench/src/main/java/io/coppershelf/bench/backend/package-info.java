/**
 * Stand-ins for backend servers, with fault switches and a log of what they ran.
 *
 * <p>All servers of a customer run in one process, each on an address of its own. An admin port switches faults and
 * tells executions.
 */
package io.coppershelf.bench.backend;
