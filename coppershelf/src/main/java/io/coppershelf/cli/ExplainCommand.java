package io.coppershelf.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.coppershelf.cli.internal.LogLine;
import io.coppershelf.cli.internal.RequestTrace;
import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Explains what happened to a request, from the logs of one or more VMs. */
@Command(
        name = "explain",
        description = "Explains what happened to a request and what was known of its servers, from logs")
@ExitCodes(
        codes = {ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE},
        descriptions = {
            "told",
            "no line of the logs is about the request, or a file can't be read",
            "the command line is not valid"
        })
public final class ExplainCommand implements CliCommand {
    @Required
    @Option(name = "--request", description = "The id of the request", title = "ID")
    private String request = "";

    @Option(name = "--json", description = "Print the log lines as they are")
    private boolean isJson = false;

    @Arguments(description = "Log files of VMs; standard input if there are none", title = "FILE")
    private List<String> files = new ArrayList<>();

    @Override
    public int run(Console console) {
        List<LogLine> lines = new ArrayList<>();
        if (files.isEmpty()) {
            read(System.in, lines);
        }
        for (String file : files) {
            try (InputStream in = Files.newInputStream(Path.of(file))) {
                read(in, lines);
            } catch (IOException e) {
                throw CoppershelfException.causedBy(ErrorKind.INTERNAL, "can't read " + file + ": " + e, e);
            }
        }
        List<LogLine> trace = RequestTrace.of(request, lines);
        if (trace.isEmpty()) {
            console.err().println("coppershelf: no line is about request " + request);
            return ExitCode.FAILED;
        }
        trace.forEach(line -> console.out().println(isJson ? line.json() : line.text()));
        if (!isJson) {
            console.out().println(RequestTrace.cause(request, trace));
        }
        return ExitCode.OK;
    }

    private static void read(InputStream in, List<LogLine> lines) {
        BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        reader.lines().forEach(text -> LogLine.parse(text).ifPresent(lines::add));
    }
}
