package io.coppershelf.bench.decisions;

import java.util.ArrayList;
import java.util.List;

/** Measures the decisions for server groups and prints the results as tables, or as JSON lines with {@code --json}. */
public final class DecisionsBench {
    private DecisionsBench() {}

    /**
     * Runs all experiments, or those named.
     *
     * @param args {@code --json}, names of experiments
     */
    public static void main(String[] args) {
        List<String> names = new ArrayList<>(List.of(args));
        boolean json = names.remove("--json");
        RowPrinter printer = json ? new JsonLinesPrinter(System.out) : new TablePrinter(System.out);
        List<Row> all = new ArrayList<>();
        for (Experiment experiment : Experiments.all()) {
            if (names.isEmpty() || names.contains(experiment.name())) {
                List<Row> rows = experiment.measure();
                printer.print(experiment.title(), rows);
                all.addAll(rows);
            }
        }
        if (all.stream().anyMatch(row -> row.table().equals("faults"))) {
            printer.printTargets(Targets.check(all));
        }
    }
}
