/**
 * Structured logs: one JSON line for each decision on a request and for each state change of this process. A dedicated
 * thread writes the lines; when it can't keep up, lines are dropped and counted, and callers never wait.
 */
package io.coppershelf.eventlog;
