/** Baselines for the decisions of a server group, each a small implementation of the same interface. */
package io.coppershelf.bench.decisions.baseline;
