/**
 * Structured logs: one JSON line for each decision that touches a request or changes what this process believes. Lines
 * are written by a thread of their own; when it can't keep up, lines are dropped and counted, never waited for.
 */
package io.coppershelf.eventlog;
