package io.coppershelf.cli;

import io.coppershelf.operator.Logging;

/** Entry point of the executable jar. */
public final class Main {
    private Main() {}

    /**
     * Runs one command and exits with its code.
     *
     * @param args the arguments of the command line
     */
    public static void main(String[] args) throws InterruptedException {
        Logging.prepare();
        System.exit(CommandLine.run(args, new Console(System.out, System.err)));
    }
}
