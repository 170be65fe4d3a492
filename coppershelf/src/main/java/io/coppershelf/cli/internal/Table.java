package io.coppershelf.cli.internal;

import java.util.ArrayList;
import java.util.List;

/** A table of text whose columns are as wide as their widest cell. */
public final class Table {
    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    /** Creates a table with the given column headers. */
    public Table(String... headers) {
        rows.add(List.of(headers));
    }

    /** Adds a row with one cell per column. */
    public void add(String... cells) {
        rows.add(List.of(cells));
    }

    /** Returns the lines of the table. */
    public List<String> lines() {
        return rows.stream().map(this::line).toList();
    }

    private String line(List<String> row) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < row.size(); column++) {
            String cell = row.get(column);
            line.append(cell).append(" ".repeat(width(column) - cell.length())).append(GAP);
        }
        return line.toString().stripTrailing();
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
