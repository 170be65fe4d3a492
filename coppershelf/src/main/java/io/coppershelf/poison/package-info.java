/**
 * Requests that crash each server that begins to run them: which requests are the same, under which of them servers
 * crashed, and which are therefore kept from the servers. The code is free of I/O and clocks.
 */
package io.coppershelf.poison;
