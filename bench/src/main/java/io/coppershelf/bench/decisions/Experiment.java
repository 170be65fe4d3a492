package io.coppershelf.bench.decisions;

import java.util.List;
import java.util.stream.IntStream;

/**
 * An experiment, whose results are printed as one table.
 *
 * @param name its name
 * @param title its heading
 * @param cells the rows, in order
 */
record Experiment(String name, String title, List<Cell> cells) {
    /**
     * One row of the table, measured over all services of the customer.
     *
     * @param customer the customer
     * @param fault the fault
     * @param load the load as a share of the capacity of the slots
     * @param policy the measured policy
     * @param seeds the number of seeds
     * @param endNanos the time at which the arrivals of each run end
     */
    record Cell(Customer customer, Fault fault, double load, Policy policy, int seeds, long endNanos) {
        private List<RunSpec> specs() {
            return customer.services().stream()
                    .flatMap(service -> IntStream.range(0, seeds)
                            .mapToObj(seed -> new RunSpec(service, fault, load, policy, seed, endNanos)))
                    .toList();
        }
    }

    /** Runs all cells and returns their rows. */
    List<Row> measure() {
        return cells.parallelStream().map(this::measure).toList();
    }

    private Row measure(Cell cell) {
        RunResult sum = new RunResult();
        cell.specs().parallelStream().map(ServiceSimulation::run).toList().forEach(sum::add);
        return new Row(name, cell.customer(), cell.fault(), cell.load(), cell.policy(), sum);
    }
}
