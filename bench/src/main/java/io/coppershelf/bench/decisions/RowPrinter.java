package io.coppershelf.bench.decisions;

import java.util.List;

/** Prints results. */
interface RowPrinter {
    /** Prints the rows of one experiment. */
    void print(String title, List<Row> rows);

    /** Prints the targets with the measured figures and whether they are met. */
    void printTargets(List<Target> targets);
}
