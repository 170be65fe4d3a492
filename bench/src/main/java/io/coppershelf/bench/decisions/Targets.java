package io.coppershelf.bench.decisions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** Checks the measured figures against the targets. */
final class Targets {
    /** Faults in which no server is unhealthy, so that every ejection is false. */
    private static final Set<Fault> FAULTS_WITHOUT_UNHEALTHY_SERVER =
            Set.of(Fault.NONE, Fault.PAUSE, Fault.COLD, Fault.DRAIN, Fault.SHEDDING);

    private static final double LOW_LOAD = 0.4;
    private static final double OVERLOAD = 2.0;
    private static final double MIN_CARRIED_UNDER_STALL = 0.99;
    private static final double P99 = 0.99;

    private final List<Row> own;
    private final List<Row> baselines;
    private final List<Target> targets = new ArrayList<>();

    private Targets(List<Row> rows) {
        this.own = rows.stream().filter(row -> row.table().equals("faults")).toList();
        this.baselines =
                rows.stream().filter(row -> row.table().equals("baselines")).toList();
    }

    /** Returns the targets with the measured figures. */
    static List<Target> check(List<Row> rows) {
        Targets targets = new Targets(rows);
        targets.checkSafety();
        targets.checkDetection();
        targets.checkFalseEjections();
        targets.checkWork();
        return targets.targets;
    }

    private void checkSafety() {
        atMost("executed twice, all rows", row -> true, row -> (double) row.result().executedTwice, 0);
        atMost("wrong outcome, all rows", row -> true, row -> (double) row.result().wrongOutcome, 0);
        atLeast("servers above the floor, all rows", row -> true, row -> (double) row.result().lowestAboveFloor, 0);
    }

    private void checkDetection() {
        Predicate<Row> stall = Targets::isStallAtLowLoad;
        atMost("full stall, Association, 40%: median detection s", stall, row -> detection(row, 0.5), 1);
        atMost("full stall, Association, 40%: worst detection s", stall, row -> detection(row, 1), 3);
        double allowed = own.stream()
                .filter(stall)
                .mapToDouble(row -> row.result().falseEjectionsPerServerHour())
                .findFirst()
                .orElse(0);
        checkSpeedup(
                "times sooner than the best baseline of equal or fewer false ejections",
                row -> row.result().falseEjectionsPerServerHour() <= allowed);
        checkSpeedup("times sooner than the soonest baseline", row -> true);
    }

    private void checkSpeedup(String name, Predicate<Row> compared) {
        Optional<Row> best = baselines.stream()
                .filter(Targets::isStallAtLowLoad)
                .filter(compared)
                .min(Comparator.comparingDouble(row -> detection(row, 0.5)));
        best.ifPresent(row -> atLeast(
                name + " (" + row.policy().title() + ")",
                Targets::isStallAtLowLoad,
                ownRow -> detection(row, 0.5) / Math.max(detection(ownRow, 0.5), Double.MIN_NORMAL),
                5));
    }

    private void checkFalseEjections() {
        atMost(
                "Syrmatourgia, no fault, overload, cold start, drain, paused observer: false ejections/h",
                row -> row.customer() == Customer.SYRMATOURGIA && FAULTS_WITHOUT_UNHEALTHY_SERVER.contains(row.fault()),
                row -> row.result().falseEjectionsPerServerHour(),
                0);
    }

    private void checkWork() {
        for (Customer customer : Customer.values()) {
            for (double load : new double[] {LOW_LOAD, 0.7, 1.0}) {
                atLeast(
                        String.format(Locale.ROOT, "one stalled, %s, %.0f%%: carried", customer.title(), load * 100),
                        row -> row.customer() == customer && row.fault() == Fault.STALL && row.load() == load,
                        row -> row.result().shareCarried(),
                        MIN_CARRIED_UNDER_STALL);
            }
            atLeast(
                    "200% load, no fault, " + customer.title() + ": carried",
                    row -> row.customer() == customer && row.fault() == Fault.NONE && row.load() == OVERLOAD,
                    row -> row.result().shareCarried(),
                    0.95);
            atMost(
                    "200% load, no fault, " + customer.title() + ": p99 of refusals ms",
                    row -> row.customer() == customer && row.fault() == Fault.NONE && row.load() == OVERLOAD,
                    row -> RunResult.quantile(row.result().refusalMillis, P99),
                    50);
            atMost(
                    "200% load, no fault, " + customer.title() + ": slowest refusal ms",
                    row -> row.customer() == customer && row.fault() == Fault.NONE && row.load() == OVERLOAD,
                    row -> RunResult.quantile(row.result().refusalMillis, 1),
                    50);
        }
    }

    private static boolean isStallAtLowLoad(Row row) {
        return row.customer() == Customer.ASSOCIATION && row.fault() == Fault.STALL && row.load() == LOW_LOAD;
    }

    private static double detection(Row row, double share) {
        return RunResult.quantile(row.result().detectionSeconds, share);
    }

    private void atMost(String name, Predicate<Row> rows, ToDoubleFunction<Row> value, double bound) {
        double worst = own.stream().filter(rows).mapToDouble(value).max().orElse(Double.NaN);
        targets.add(new Target(name, "<= " + text(bound), text(worst), worst <= bound));
    }

    private void atLeast(String name, Predicate<Row> rows, ToDoubleFunction<Row> value, double bound) {
        double worst = own.stream().filter(rows).mapToDouble(value).min().orElse(Double.NaN);
        targets.add(new Target(name, ">= " + text(bound), text(worst), worst >= bound));
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, "%.4f", value).replaceFirst("\\.?0+$", "");
    }
}
