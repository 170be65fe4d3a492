package io.coppershelf.bench.slopes;

import java.util.function.IntToDoubleFunction;

/**
 * One cost that grows with one size.
 *
 * @param name what costs, such as {@code configuration memory per route}
 * @param unit the unit of the cost, such as {@code bytes}
 * @param sizes the sizes to measure, at least three
 * @param cost the cost at a size
 */
record Slope(String name, String unit, int[] sizes, IntToDoubleFunction cost) {}
