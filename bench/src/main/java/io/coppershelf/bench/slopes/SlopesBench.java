package io.coppershelf.bench.slopes;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** Prints every slope with its points and its fit, as a table and as JSON lines. */
public final class SlopesBench {
    private SlopesBench() {}

    /** Measures all slopes. */
    public static void main(String[] args) {
        System.out.printf(
                Locale.ROOT, "%-62s %-6s %12s %14s %7s  %s%n", "cost", "unit", "slope", "at zero", "fit", "points");
        Stream.of(ConfigurationSlopes.all(), FleetSlopes.all(), GroupSlopes.all(), RoleSlopes.all())
                .flatMap(List::stream)
                .forEach(SlopesBench::print);
    }

    private static void print(Slope slope) {
        double unused = slope.cost().applyAsDouble(slope.sizes()[0]);
        List<LinearFit.Point> points = Arrays.stream(slope.sizes())
                .mapToObj(size -> new LinearFit.Point(size, slope.cost().applyAsDouble(size)))
                .toList();
        LinearFit fit = LinearFit.through(points);
        StringBuilder shown = new StringBuilder();
        points.forEach(point -> shown.append(String.format(Locale.ROOT, "%.0f:%.2f ", point.size(), point.cost())));
        System.out.printf(
                Locale.ROOT,
                "%-62s %-6s %12.5f %14.2f %7.4f  %s%n",
                slope.name(),
                slope.unit(),
                fit.slope(),
                fit.intercept(),
                fit.determination(),
                shown);
        System.out.printf(
                Locale.ROOT,
                "{\"bench\":\"slopes\",\"cost\":\"%s\",\"unit\":\"%s\",\"slope\":%.6f,\"atZero\":%.3f,\"fit\":%.5f}%n",
                slope.name(),
                slope.unit(),
                fit.slope(),
                fit.intercept(),
                fit.determination());
    }
}
