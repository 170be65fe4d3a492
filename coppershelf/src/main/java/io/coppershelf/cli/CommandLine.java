package io.coppershelf.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;

/** Parses a command line and runs its command. */
final class CommandLine {
    private static final List<String> HELP_OPTIONS = List.of("--help", "-h");

    private CommandLine() {}

    /**
     * Runs the command.
     *
     * @return the exit code
     */
    static int run(String[] args, Console console) throws InterruptedException {
        List<String> arguments = List.of(args);
        if (arguments.stream().anyMatch(HELP_OPTIONS::contains)) {
            return help(commandNames(arguments), console);
        }
        try {
            return cli().parse(args).run(console);
        } catch (ParseException | UsageException e) {
            console.err().println("coppershelf: " + e.getMessage());
            console.err().println();
            printHelp(knownPrefix(arguments), console.err());
            return ExitCode.USAGE;
        } catch (CoppershelfException e) {
            console.err().println("coppershelf: " + e.getMessage());
            return exitCode(e.kind());
        }
    }

    /** Prints help for a command, a group or all commands. */
    static int help(List<String> arguments, Console console) {
        if (!arguments.isEmpty() && knownPrefix(arguments).size() < arguments.size()) {
            console.err().println("coppershelf: no such command: " + String.join(" ", arguments));
            printHelp(List.of(), console.err());
            return ExitCode.USAGE;
        }
        printHelp(arguments, console.out());
        return ExitCode.OK;
    }

    private static Cli<CliCommand> cli() {
        CliBuilder<CliCommand> builder = Cli.<CliCommand>builder("coppershelf")
                .withDescription("a proxy fleet for backend servers with gray failures")
                .withDefaultCommand(NoCommand.class)
                .withCommands(Arrays.asList(
                        EntryCommand.class,
                        StatusCommand.class,
                        TicketsCommand.class,
                        TimelineCommand.class,
                        ExplainCommand.class,
                        HelpCommand.class));
        builder.withGroup("settings").withDescription("settings of a daemon").withCommand(SettingsCheckCommand.class);
        builder.withGroup("ticket").withDescription("change tickets").withCommand(TicketCheckCommand.class);
        return builder.build();
    }

    private static int exitCode(ErrorKind kind) {
        return switch (kind) {
            case INVALID_SETTINGS, INVALID_TICKET -> ExitCode.INVALID_FILE;
            default -> ExitCode.FAILED;
        };
    }

    private static void printHelp(List<String> arguments, OutputStream out) {
        try {
            Help.help(cli().getMetadata(), arguments, out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<String> commandNames(List<String> arguments) {
        return arguments.stream()
                .takeWhile(argument -> !argument.startsWith("-"))
                .filter(argument -> !argument.equals("help"))
                .toList();
    }

    /** Returns the longest prefix of the arguments that names a command or a group. */
    private static List<String> knownPrefix(List<String> arguments) {
        if (arguments.isEmpty()) {
            return arguments;
        }
        String first = arguments.get(0);
        boolean isGroup = cli().getMetadata().getCommandGroups().stream()
                .anyMatch(group -> group.getName().equals(first));
        if (isGroup) {
            return arguments.size() > 1 && arguments.get(1).equals("check")
                    ? arguments.subList(0, 2)
                    : arguments.subList(0, 1);
        }
        boolean isCommand = cli().getMetadata().getDefaultGroupCommands().stream()
                .anyMatch(command -> command.getName().equals(first));
        return isCommand ? arguments.subList(0, 1) : List.of();
    }
}
