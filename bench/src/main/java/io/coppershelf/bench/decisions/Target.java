package io.coppershelf.bench.decisions;

/**
 * A target of the users, with the measured figure.
 *
 * @param name the name of the target
 * @param bound the bound, with its comparison operator
 * @param measured the worst measured figure
 * @param isMet whether the figure is within the bound
 */
record Target(String name, String bound, String measured, boolean isMet) {}
