package io.coppershelf.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.coppershelf.cli.internal.DaemonAddress;
import io.coppershelf.cli.internal.OperatorClient;
import io.coppershelf.cli.internal.Table;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Shows the ticket in force on each daemon. */
@Command(name = "tickets", description = "Shows the ticket in force on each daemon and whether all agree")
@ExitCodes(
        codes = {ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE, ExitCode.NOT_REACHABLE},
        descriptions = {
            "all daemons hold the same configuration",
            "the daemons differ, or the ticket waited for is not in force everywhere",
            "the command line is not valid",
            "a daemon can't be reached"
        })
public final class TicketsCommand implements CliCommand {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    @Required
    @Option(name = "--at", description = "Operator addresses, separated by commas", title = "HOST:PORT,...")
    private String at = "";

    @Option(name = "--fleet", description = "Also ask all daemons that the given ones count as live")
    private boolean isFleet = false;

    @Option(name = "--ticket", description = "The ticket that must be in force", title = "NUMBER")
    private long ticket = 0;

    @Option(
            name = "--wait",
            description = "How long to wait for the ticket to be in force everywhere",
            title = "SECONDS")
    private int waitSeconds = 0;

    @Option(name = "--json", description = "Print one JSON document")
    private boolean isJson = false;

    @Override
    public int run(Console console) throws InterruptedException {
        OperatorClient client = new OperatorClient();
        List<DaemonAddress> daemons = Addresses.parseAll(at, isFleet, client);
        long endNanos = System.nanoTime() + Duration.ofSeconds(waitSeconds).toNanos();
        Map<DaemonAddress, Optional<JsonNode>> answers = client.fetchAll(daemons, "/ticket");
        while (exitCode(answers) != ExitCode.OK && System.nanoTime() - endNanos < 0) {
            TimeUnit.NANOSECONDS.sleep(POLL_INTERVAL.toNanos());
            answers = client.fetchAll(daemons, "/ticket");
        }
        if (isJson) {
            console.out().println(json(answers));
        } else {
            print(answers, console.out());
        }
        return exitCode(answers);
    }

    private int exitCode(Map<DaemonAddress, Optional<JsonNode>> answers) {
        if (answers.values().stream().anyMatch(Optional::isEmpty)) {
            return ExitCode.NOT_REACHABLE;
        }
        boolean isInForce = answers.values().stream()
                .allMatch(answer -> answer.orElseThrow().at("/ticket/number").asLong() >= ticket);
        return isInForce && isAgreed(answers) ? ExitCode.OK : ExitCode.FAILED;
    }

    /** Returns whether all daemons that answered have the same configuration. */
    private static boolean isAgreed(Map<DaemonAddress, Optional<JsonNode>> answers) {
        return answers.values().stream()
                        .flatMap(Optional::stream)
                        .map(status -> status.path("ticket"))
                        .distinct()
                        .count()
                <= 1;
    }

    private static void print(Map<DaemonAddress, Optional<JsonNode>> answers, PrintStream out) {
        Table table = new Table("DAEMON", "VM", "TICKET", "DIGEST");
        answers.forEach((daemon, answer) -> table.add(
                daemon.toString(),
                answer.map(status -> status.path("vm").asText()).orElse("not reachable"),
                answer.map(status -> status.at("/ticket/number").asText()).orElse("-"),
                answer.map(status -> status.at("/ticket/digest").asText()).orElse("-")));
        table.lines().forEach(out::println);
        long answered = answers.values().stream().flatMap(Optional::stream).count();
        out.printf("%d of %d daemons answered%s%n", answered, answers.size(), agreement(answers, answered));
    }

    private static String agreement(Map<DaemonAddress, Optional<JsonNode>> answers, long answered) {
        if (answered == 0) {
            return "";
        }
        return isAgreed(answers) ? "; they agree" : "; they differ";
    }

    private static JsonNode json(Map<DaemonAddress, Optional<JsonNode>> answers) {
        ObjectNode document = JsonNodeFactory.instance.objectNode().put("agree", isAgreed(answers));
        ArrayNode daemons = document.putArray("daemons");
        answers.forEach((daemon, answer) -> {
            ObjectNode node = daemons.addObject().put("at", daemon.toString()).put("reachable", answer.isPresent());
            answer.ifPresent(status -> node.put("vm", status.path("vm").asText()));
            answer.ifPresent(status -> node.set("ticket", status.path("ticket")));
        });
        return document;
    }
}
