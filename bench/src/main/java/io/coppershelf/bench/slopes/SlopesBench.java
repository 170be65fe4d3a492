package io.coppershelf.bench.slopes;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** Prints every cost with its measured points and its fitted line, as a table and as JSON lines. */
public final class SlopesBench {
    private SlopesBench() {}

    /** Measures and prints all costs. */
    public static void main(String[] args) {
        System.out.printf(
                Locale.ROOT, "%-62s %-6s %12s %14s %7s  %s%n", "cost", "unit", "slope", "at zero", "fit", "points");
        Stream.of(ConfigurationSlopes.all(), FleetSlopes.all(), GroupSlopes.all(), RoleSlopes.all())
                .flatMap(List::stream)
                .forEach(SlopesBench::print);
    }

    private static void print(CostSeries series) {
        double unusedWarmUp = series.cost().applyAsDouble(series.sizes()[0]);
        List<LinearFit.Point> points = Arrays.stream(series.sizes())
                .mapToObj(size -> new LinearFit.Point(size, series.cost().applyAsDouble(size)))
                .toList();
        LinearFit fit = LinearFit.through(points);
        StringBuilder pointList = new StringBuilder();
        points.forEach(point -> pointList.append(String.format(Locale.ROOT, "%.0f:%.2f ", point.size(), point.cost())));
        System.out.printf(
                Locale.ROOT,
                "%-62s %-6s %12.5f %14.2f %7.4f  %s%n",
                series.name(),
                series.unit(),
                fit.slope(),
                fit.intercept(),
                fit.rSquared(),
                pointList);
        System.out.printf(
                Locale.ROOT,
                "{\"bench\":\"slopes\",\"cost\":\"%s\",\"unit\":\"%s\",\"slope\":%.6f,\"atZero\":%.3f,\"fit\":%.5f}%n",
                series.name(),
                series.unit(),
                fit.slope(),
                fit.intercept(),
                fit.rSquared());
    }
}
