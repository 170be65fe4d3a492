/**
 * Demonstrates the main features with real processes: every request kind, a ticket, a drain and a stalled server under
 * load.
 */
package io.coppershelf.bench.demo;
