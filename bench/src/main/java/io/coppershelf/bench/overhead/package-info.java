/** Measures the latency that a daemon adds to a request, and the rate at which a daemon saturates. */
package io.coppershelf.bench.overhead;
