/**
 * Admission control for a server group, the backend servers of one service in one data centre: slots, queueing and
 * early refusal. One owner VM serves a group at a time. The decisions are free of I/O and clocks; the
 * {@code internal.runtime} package connects them to the daemon.
 */
package io.coppershelf.admission;
