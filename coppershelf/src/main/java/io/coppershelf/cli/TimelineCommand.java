package io.coppershelf.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.coppershelf.cli.internal.DaemonAddress;
import io.coppershelf.cli.internal.EventFilter;
import io.coppershelf.cli.internal.EventLine;
import io.coppershelf.cli.internal.OperatorClient;
import io.coppershelf.operator.StampedEvent;
import io.coppershelf.operator.TimelineDocument;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** Shows the events of all daemons in one order. */
@Command(name = "timeline", description = "Shows the events of all daemons in one order, causes before effects")
@ExitCodes(
        codes = {ExitCode.OK, ExitCode.USAGE, ExitCode.NOT_REACHABLE},
        descriptions = {
            "shown in full",
            "the command line is not valid",
            "a daemon can't be reached; the events of the others are shown"
        })
public final class TimelineCommand implements CliCommand {
    @Required
    @Option(name = "--at", description = "Operator addresses, separated by commas", title = "HOST:PORT,...")
    private String at = "";

    @Option(name = "--fleet", description = "Also ask all daemons that the given ones count as live")
    private boolean isFleet = false;

    @Option(name = "--service", description = "Only events of this service", title = "NAME")
    private String service = "";

    @Option(name = "--server", description = "Only events of this backend server", title = "NAME")
    private String server = "";

    @Option(name = "--request", description = "Only events of this request", title = "ID")
    private String request = "";

    @Option(name = "--ticket", description = "Only events of this ticket", title = "NUMBER")
    private long ticket = 0;

    @Option(name = "--json", description = "Print one JSON document a line")
    private boolean isJson = false;

    @Override
    public int run(Console console) {
        OperatorClient client = new OperatorClient();
        List<DaemonAddress> daemons = Addresses.parseAll(at, isFleet, client);
        Map<DaemonAddress, Optional<JsonNode>> answers = client.fetchAll(daemons, "/timeline");
        List<StampedEvent> events = new ArrayList<>();
        int unreachable = 0;
        for (Map.Entry<DaemonAddress, Optional<JsonNode>> entry : answers.entrySet()) {
            Optional<TimelineDocument> document = entry.getValue().flatMap(TimelineCommand::read);
            if (document.isEmpty()) {
                console.err().println("coppershelf: daemon " + entry.getKey() + " can't be reached");
                unreachable++;
                continue;
            }
            warnOfOverwrittenEvents(document.get(), console);
            events.addAll(document.get().events());
        }
        print(events, console);
        return unreachable == 0 ? ExitCode.OK : ExitCode.NOT_REACHABLE;
    }

    private void print(List<StampedEvent> events, Console console) {
        EventFilter filter = new EventFilter(service, server, request, ticket);
        Function<StampedEvent, String> line =
                isJson ? event -> TimelineDocument.toJson(event).toString() : EventLine::of;
        events.stream()
                .filter(event -> filter.test(event.event()))
                .sorted()
                .distinct()
                .map(line)
                .forEach(console.out()::println);
    }

    private static void warnOfOverwrittenEvents(TimelineDocument document, Console console) {
        if (document.overwritten() != 0) {
            console.err()
                    .println("coppershelf: VM " + document.vm() + " keeps no events before "
                            + EventLine.time(document.overwritten()));
        }
    }

    private static Optional<TimelineDocument> read(JsonNode answer) {
        try {
            return Optional.of(TimelineDocument.fromJson(answer));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
