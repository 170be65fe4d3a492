package io.coppershelf.bench.decisions;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coppershelf.bench.decisions.Columns.Column;
import java.io.PrintStream;
import java.util.List;

/** Prints results as JSON lines. */
final class JsonLinesPrinter implements RowPrinter {
    private final ObjectMapper mapper = new ObjectMapper();
    private final PrintStream out;

    JsonLinesPrinter(PrintStream out) {
        this.out = out;
    }

    @Override
    public void print(String title, List<Row> rows) {
        rows.forEach(row -> out.println(line(row)));
    }

    private ObjectNode line(Row row) {
        ObjectNode node = mapper.createObjectNode();
        node.put("bench", "decisions");
        node.put("table", row.table());
        node.put("customer", row.customer().title());
        node.put("fault", row.fault().title());
        node.put("load", row.load());
        node.put("decisions", row.policy().title());
        for (Column column : Columns.ALL_COLUMNS) {
            double value = column.value().applyAsDouble(row.result());
            if (!Double.isNaN(value)) {
                node.put(column.name(), value);
            }
        }
        return node;
    }

    @Override
    public void printTargets(List<Target> targets) {
        for (Target target : targets) {
            ObjectNode node = mapper.createObjectNode();
            node.put("bench", "decisions");
            node.put("target", target.name());
            node.put("bound", target.bound());
            node.put("measured", target.measured());
            node.put("met", target.isMet());
            out.println(node);
        }
    }
}
