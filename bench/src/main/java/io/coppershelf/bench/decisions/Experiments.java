package io.coppershelf.bench.decisions;

import io.coppershelf.bench.decisions.Experiment.Cell;
import java.util.ArrayList;
import java.util.List;

/** The experiments of {@code bin/bench decisions}. */
final class Experiments {
    private static final List<Double> LOADS = List.of(0.4, 0.7, 1.0, 2.0);
    private static final List<Double> BASELINE_LOADS = List.of(0.4, 1.0);
    private static final List<Policy> BASELINES =
            List.of(Policy.PROBES, Policy.FIVE_ERRORS, Policy.OUTLIERS, Policy.ROUND_ROBIN, Policy.TWO_CHOICES);
    private static final List<Policy> SLOT_POLICIES =
            List.of(Policy.TWO_CHOICES, Policy.OWNER_PER_SERVER, Policy.COPPERSHELF, Policy.LEASES);
    private static final List<Fault> HISTORY_FAULTS = List.of(Fault.STALL, Fault.SLOW_5, Fault.ERRORS, Fault.FLAPPING);

    private static final long RUN_NANOS = 50 * Units.SECONDS;
    private static final long HISTORY_RUN_NANOS = 100 * Units.SECONDS;
    private static final long LONG_RUN_NANOS = 200 * Units.SECONDS;
    private static final int SEEDS = 2;
    private static final int SMALL_SEEDS = 4;
    private static final int STALL_SEEDS = 8;
    private static final int BASELINE_SEEDS = 1;

    private Experiments() {}

    /** Returns all experiments, in the order in which they are printed. */
    static List<Experiment> all() {
        return List.of(faults(), baselines(), slots(), history());
    }

    private static Experiment faults() {
        List<Cell> cells = new ArrayList<>();
        for (Customer customer : Customer.values()) {
            for (Fault fault : Fault.values()) {
                for (double load : LOADS) {
                    int defaultSeeds = customer == Customer.SYRMATOURGIA ? SMALL_SEEDS : SEEDS;
                    int seeds = fault == Fault.STALL && load == LOADS.get(0) ? STALL_SEEDS : defaultSeeds;
                    long endNanos = fault == Fault.STALL && load == 1.0 ? LONG_RUN_NANOS : RUN_NANOS;
                    cells.add(new Cell(customer, fault, load, Policy.COPPERSHELF, seeds, endNanos));
                }
            }
        }
        return new Experiment("faults", "Decisions under faults", cells);
    }

    private static Experiment baselines() {
        List<Cell> cells = new ArrayList<>();
        for (Customer customer : Customer.values()) {
            for (Fault fault : Fault.values()) {
                for (double load : BASELINE_LOADS) {
                    int seeds = fault == Fault.STALL && load == BASELINE_LOADS.get(0) ? STALL_SEEDS : BASELINE_SEEDS;
                    BASELINES.forEach(policy -> cells.add(new Cell(customer, fault, load, policy, seeds, RUN_NANOS)));
                }
            }
        }
        return new Experiment("baselines", "Baselines under the same faults", cells);
    }

    private static Experiment slots() {
        List<Cell> cells = new ArrayList<>();
        for (Customer customer : Customer.values()) {
            for (double load : LOADS) {
                SLOT_POLICIES.forEach(
                        policy -> cells.add(new Cell(customer, Fault.NONE, load, policy, SEEDS, RUN_NANOS)));
            }
        }
        return new Experiment("slots", "Ways to share slots between entry VMs", cells);
    }

    private static Experiment history() {
        List<Cell> cells = new ArrayList<>();
        for (Customer customer : Customer.values()) {
            for (Fault fault : HISTORY_FAULTS) {
                int seeds = fault == Fault.FLAPPING ? SMALL_SEEDS : SEEDS;
                cells.add(new Cell(customer, fault, LOADS.get(0), Policy.COPPERSHELF, seeds, HISTORY_RUN_NANOS));
                cells.add(new Cell(customer, fault, LOADS.get(0), Policy.UNEQUAL, seeds, HISTORY_RUN_NANOS));
            }
        }
        return new Experiment("history", "Shorter limits for servers that were ejected not long ago", cells);
    }
}
