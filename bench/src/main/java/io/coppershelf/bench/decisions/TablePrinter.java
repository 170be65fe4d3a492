package io.coppershelf.bench.decisions;

import io.coppershelf.bench.decisions.Columns.Column;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Prints results as Markdown tables. */
final class TablePrinter implements RowPrinter {
    private final PrintStream out;

    TablePrinter(PrintStream out) {
        this.out = out;
    }

    @Override
    public void print(String title, List<Row> rows) {
        out.println();
        out.println("## " + title);
        out.println();
        String headings = Columns.ALL_COLUMNS.stream().map(Column::heading).collect(Collectors.joining(" | "));
        out.println("| customer | fault | load | decisions | " + headings + " |");
        out.println("|---|---|---|---" + "|---:".repeat(Columns.ALL_COLUMNS.size()) + "|");
        rows.forEach(row -> out.println(line(row)));
    }

    private static String line(Row row) {
        String values = Columns.ALL_COLUMNS.stream()
                .map(column -> column.text(row.result()))
                .collect(Collectors.joining(" | "));
        return String.format(
                Locale.ROOT,
                "| %s | %s | %.0f%% | %s | %s |",
                row.customer().title(),
                row.fault().title(),
                row.load() * 100,
                row.policy().title(),
                values);
    }

    @Override
    public void printTargets(List<Target> targets) {
        out.println();
        out.println("## Targets");
        out.println();
        out.println("| target | bound | measured | met |");
        out.println("|---|---|---|---|");
        targets.forEach(target -> out.println(String.format(
                Locale.ROOT,
                "| %s | %s | %s | %s |",
                target.name(),
                target.bound(),
                target.measured(),
                target.isMet() ? "yes" : "MISSED")));
    }
}
