package io.coppershelf.bench.decisions;

/**
 * A target that the users set, and what was measured.
 *
 * @param name what is asked
 * @param bound the bound
 * @param measured the worst figure
 * @param isMet whether the figure is within the bound
 */
record Target(String name, String bound, String measured, boolean isMet) {}
