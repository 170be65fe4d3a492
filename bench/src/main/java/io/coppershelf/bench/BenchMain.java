package io.coppershelf.bench;

import java.util.Arrays;
import java.util.Optional;

/**
 * Runs the bench program that the first argument names, with the remaining arguments.
 *
 * <p>Example: {@code BenchMain backends --tickets examples/association/tickets --admin-port 9100}.
 */
public final class BenchMain {
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

    /** Runs the program named by the first argument. */
    public static void main(String[] args) throws Exception {
        Optional<BenchProgram> program = args.length == 0 ? Optional.empty() : BenchProgram.named(args[0]);
        if (program.isEmpty()) {
            System.err.println("usage: bench PROGRAM [ARGUMENTS], with PROGRAM one of " + BenchProgram.names());
            System.exit(EXIT_USAGE);
            return;
        }
        program.get().run(Arrays.copyOfRange(args, 1, args.length));
    }
}
