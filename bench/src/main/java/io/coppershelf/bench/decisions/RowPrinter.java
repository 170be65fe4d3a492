package io.coppershelf.bench.decisions;

import java.util.List;

/** Prints measurements. */
interface RowPrinter {
    /** Prints a table. */
    void print(String title, List<Row> rows);

    /** Prints which targets are met. */
    void printTargets(List<Target> targets);
}
