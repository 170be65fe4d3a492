/**
 * Requests that crash the process of every server that executes them: which requests are the same, under which servers
 * crashed, and which are therefore kept from the servers. The code is free of I/O and clocks.
 */
package io.coppershelf.poison;
