/**
 * Requests that crash the process of every server that executes them: which requests are the same, which servers
 * crashed under them, and which requests are therefore kept from servers. The code is free of I/O and clocks.
 */
package io.coppershelf.poison;
