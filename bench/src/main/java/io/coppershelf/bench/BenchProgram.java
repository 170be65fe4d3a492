package io.coppershelf.bench;

import io.coppershelf.bench.backend.BackendMain;
import io.coppershelf.bench.decisions.DecisionsBench;
import io.coppershelf.bench.demo.DemoMain;
import io.coppershelf.bench.fleet.FleetBench;
import io.coppershelf.bench.overhead.OverheadBench;
import io.coppershelf.bench.platform.PlatformMain;
import io.coppershelf.bench.slopes.SlopesBench;
import io.coppershelf.bench.tickets.CuttableDaemon;
import io.coppershelf.bench.tickets.TicketsBench;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A program of the bench.
 *
 * @param name the name on the command line
 * @param body the main method
 */
record BenchProgram(String name, Body body) {
    private static final List<BenchProgram> ALL = List.of(
            new BenchProgram("backends", BackendMain::main),
            new BenchProgram("platform", PlatformMain::main),
            new BenchProgram("demo", DemoMain::main),
            new BenchProgram("fleet", FleetBench::main),
            new BenchProgram("tickets", TicketsBench::main),
            new BenchProgram("cuttable-daemon", CuttableDaemon::main),
            new BenchProgram("slopes", SlopesBench::main),
            new BenchProgram("overhead", OverheadBench::main),
            new BenchProgram("decisions", DecisionsBench::main));

    /** Returns the program of the given name, empty if there is none. */
    static Optional<BenchProgram> named(String name) {
        return ALL.stream().filter(program -> program.name.equals(name)).findFirst();
    }

    static String names() {
        return ALL.stream().map(BenchProgram::name).collect(Collectors.joining(", "));
    }

    void run(String[] args) throws Exception {
        body.run(args);
    }

    /** The main method of a program. */
    @FunctionalInterface
    interface Body {
        /** Runs the program with the given arguments. */
        void run(String[] args) throws Exception;
    }
}
