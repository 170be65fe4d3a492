package io.coppershelf.bench.slopes;

import java.util.function.IntToDoubleFunction;

/**
 * A cost that is measured at several sizes.
 *
 * @param name the name of the cost, such as {@code configuration memory per route}
 * @param unit the unit of the cost, such as {@code bytes}
 * @param sizes the sizes to measure, at least three
 * @param cost measures the cost at a size
 */
record CostSeries(String name, String unit, int[] sizes, IntToDoubleFunction cost) {}
