/** Load generators, and the check of the outcomes that callers received against the work that was run. */
package io.coppershelf.bench.load;
