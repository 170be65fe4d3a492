package io.coppershelf.cli;

import com.github.rvesse.airline.annotations.Command;

/** Runs if the command line names no command, and fails. */
@Command(name = "no-command", description = "Reports that a command is missing", hidden = true)
public final class NoCommand implements CliCommand {
    @Override
    public int run(Console console) {
        throw new UsageException("a command is missing");
    }
}
