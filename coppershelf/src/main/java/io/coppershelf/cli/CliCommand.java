package io.coppershelf.cli;

/** A command of the command line. */
interface CliCommand {
    /**
     * Runs the command.
     *
     * @return the exit code, one of {@link ExitCode}
     * @throws UsageException if its arguments are not valid
     * @throws InterruptedException if the process is terminated
     */
    int run(Console console) throws InterruptedException;
}
