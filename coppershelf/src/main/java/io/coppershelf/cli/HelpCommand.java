package io.coppershelf.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import java.util.ArrayList;
import java.util.List;

/** Prints help. */
@Command(name = "help", description = "Prints help for a command, or the list of commands")
public final class HelpCommand implements CliCommand {
    @Arguments(description = "The command to explain", title = "COMMAND")
    private List<String> command = new ArrayList<>();

    @Override
    public int run(Console console) {
        return CommandLine.help(command, console);
    }
}
