package io.coppershelf.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.coppershelf.document.Problem;
import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.ticket.ConfigurationReview;
import io.coppershelf.ticket.ConfigurationStore;
import io.coppershelf.ticket.Ticket;
import io.coppershelf.ticket.TicketDocument;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Checks ticket files. */
@Command(name = "check", description = "Checks ticket files and names every error in them")
@ExitCodes(
        codes = {ExitCode.OK, ExitCode.USAGE, ExitCode.INVALID_FILE},
        descriptions = {"all files are valid", "the command line is not valid", "a file is not valid"})
public final class TicketCheckCommand implements CliCommand {
    @Required
    @Arguments(description = "The ticket files", title = "FILE")
    private List<String> files = new ArrayList<>();

    @Option(
            name = "--whole",
            description = "The files together are the whole configuration: also check that each service is known, each"
                    + " floor can be held and no two routes match the same requests")
    private boolean isWhole = false;

    @Override
    public int run(Console console) {
        ConfigurationStore store = new ConfigurationStore();
        boolean isValid = true;
        for (String file : files) {
            isValid &= check(file, store, console);
        }
        if (isValid && isWhole) {
            List<Problem> problems = ConfigurationReview.of(store.snapshot());
            problems.forEach(problem -> console.err().println("whole configuration: " + problem));
            isValid = problems.isEmpty();
        }
        return isValid ? ExitCode.OK : ExitCode.INVALID_FILE;
    }

    private static boolean check(String file, ConfigurationStore store, Console console) {
        try {
            Ticket ticket = TicketDocument.parse(Files.readString(Path.of(file)));
            if (store.apply(ticket).conflict()) {
                console.err().println(file + ": ticket " + ticket.number() + " was given with another content before");
                return false;
            }
            console.out()
                    .println(file + ": valid ticket " + ticket.number() + ", objects touched: "
                            + ticket.objects().size());
            return true;
        } catch (IOException e) {
            console.err().println(file + ": can't be read: " + e);
        } catch (CoppershelfException e) {
            console.err().println(file + ": " + e.getMessage());
        }
        return false;
    }
}
