package io.coppershelf.bench.decisions;

import java.util.List;
import java.util.stream.IntStream;

/**
 * A table to be measured.
 *
 * @param name its name
 * @param title its heading
 * @param cells the rows, in order
 */
record Experiment(String name, String title, List<Cell> cells) {
    /**
     * A row to be measured.
     *
     * @param customer the customer, whose services all take part
     * @param fault the fault
     * @param load the load as a share of what the slots can carry
     * @param policy the decisions
     * @param seeds the number of seeds
     * @param endNanos the length of each run
     */
    record Cell(Customer customer, Fault fault, double load, Policy policy, int seeds, long endNanos) {
        private List<RunSpec> specs() {
            return customer.services().stream()
                    .flatMap(service -> IntStream.range(0, seeds)
                            .mapToObj(seed -> new RunSpec(service, fault, load, policy, seed, endNanos)))
                    .toList();
        }
    }

    /** Measures all rows. */
    List<Row> measure() {
        return cells.parallelStream().map(this::measure).toList();
    }

    private Row measure(Cell cell) {
        RunResult sum = new RunResult();
        cell.specs().parallelStream().map(ServiceSimulation::run).toList().forEach(sum::add);
        return new Row(name, cell.customer(), cell.fault(), cell.load(), cell.policy(), sum);
    }
}
