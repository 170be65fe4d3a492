/** Measures how long a ticket takes to come into force on all daemons of a fleet. */
package io.coppershelf.bench.tickets;
