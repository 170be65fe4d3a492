package io.coppershelf.cli;

/** A command of the command line. */
interface CliCommand {
    /**
     * Runs the command.
     *
     * @return the exit code, one of {@link ExitCode}
     * @throws UsageException if the words given to it make no sense
     * @throws InterruptedException if the process is told to end
     */
    int run(Console console) throws InterruptedException;
}
