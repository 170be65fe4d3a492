package io.coppershelf.bench.decisions;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** The columns of the result tables. */
final class Columns {
    private static final double MEDIAN = 0.5;
    private static final double P90 = 0.9;
    private static final double P99 = 0.99;
    private static final double WORST = 1.0;

    /**
     * A column.
     *
     * @param name its name in JSON
     * @param heading its heading in the table
     * @param decimals the decimals in the table
     * @param value its value, NaN if there is none
     */
    record Column(String name, String heading, int decimals, ToDoubleFunction<RunResult> value) {
        /** Returns the text of the value. */
        String text(RunResult result) {
            double number = value.applyAsDouble(result);
            return Double.isNaN(number) ? "-" : String.format(Locale.ROOT, "%." + decimals + "f", number);
        }
    }

    static final List<Column> ALL_COLUMNS = List.of(
            new Column("detectionMedianSeconds", "det.med s", 2, r -> detection(r, MEDIAN)),
            new Column("detectionSeconds90", "det.p90 s", 2, r -> detection(r, P90)),
            new Column("detectionWorstSeconds", "det.max s", 2, r -> detection(r, WORST)),
            new Column("falseEjectionsPerServerHour", "false ej/h", 2, RunResult::falseEjectionsPerServerHour),
            new Column("weightedShareInTime", "in time", 4, RunResult::shareInTime),
            new Column("weightedWorkCarried", "carried", 4, RunResult::shareCarried),
            new Column("requests", "requests", 0, r -> (double) r.requests),
            new Column("lost", "lost", 0, r -> (double) r.lost),
            new Column("late", "late", 0, r -> (double) r.late),
            new Column("refused", "refused", 0, r -> (double) r.refused),
            new Column("refusalMillis99", "ref.p99 ms", 1, r -> RunResult.quantile(r.refusalMillis, P99)),
            new Column("refusalMillisWorst", "ref.max ms", 0, r -> RunResult.quantile(r.refusalMillis, WORST)),
            new Column("wrongOutcome", "wrong", 0, r -> (double) r.wrongOutcome),
            new Column("executedTwice", "twice", 0, r -> (double) r.executedTwice),
            new Column("shed", "shed", 0, r -> (double) r.shed),
            new Column("lowestServersAboveFloor", "above floor", 0, r -> (double) r.lowestAboveFloor),
            new Column("latencyMillisMedian", "lat.med ms", 0, r -> RunResult.quantile(r.latencyMillis, MEDIAN)),
            new Column("latencyMillis99", "lat.p99 ms", 0, r -> RunResult.quantile(r.latencyMillis, P99)),
            new Column("messagesPerRequest", "msg/req", 2, RunResult::messagesPerRequest));

    private Columns() {}

    private static double detection(RunResult result, double share) {
        return RunResult.quantile(result.detectionSeconds, share);
    }
}
