package io.coppershelf.bench.slopes;

import java.util.List;

/**
 * A line fitted by least squares.
 *
 * @param slope the cost per unit of size
 * @param intercept the cost at size zero
 * @param rSquared the coefficient of determination: the share of the variance that the line explains, at most 1
 */
record LinearFit(double slope, double intercept, double rSquared) {
    /**
     * One measured point.
     *
     * @param size the size
     * @param cost the cost at that size
     */
    record Point(double size, double cost) {}

    /** Returns the line through the points; at least two sizes must differ. */
    static LinearFit through(List<Point> points) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanCost = points.stream().mapToDouble(Point::cost).average().orElseThrow();
        double sizeVariance = points.stream()
                .mapToDouble(point -> square(point.size() - meanSize))
                .sum();
        double covariance = points.stream()
                .mapToDouble(point -> (point.size() - meanSize) * (point.cost() - meanCost))
                .sum();
        double slope = covariance / sizeVariance;
        double intercept = meanCost - slope * meanSize;
        double costVariance = points.stream()
                .mapToDouble(point -> square(point.cost() - meanCost))
                .sum();
        double residual = points.stream()
                .mapToDouble(point -> square(point.cost() - intercept - slope * point.size()))
                .sum();
        return new LinearFit(slope, intercept, costVariance == 0 ? 1 : 1 - residual / costVariance);
    }

    private static double square(double value) {
        return value * value;
    }
}
