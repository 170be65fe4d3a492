/** The load generator: an open loop of callers, and the check of what they were told against what was run. */
package io.coppershelf.bench.load;
