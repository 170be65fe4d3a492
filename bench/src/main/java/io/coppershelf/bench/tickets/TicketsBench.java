package io.coppershelf.bench.tickets;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.coppershelf.bench.fleet.DaemonStatus;
import io.coppershelf.bench.fleet.PlatformControl;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Publishes tickets under each fault and prints how long they took to come into force on the daemons. */
@Command(name = "tickets", description = "Measures the spread time of tickets")
public final class TicketsBench {
    private static final Duration TICKET_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration CUT_SETTLING_TIME = Duration.ofSeconds(15);
    private static final Duration TICKET_INTERVAL = Duration.ofMillis(500);
    private static final Duration PLATFORM_RECOVERY = Duration.ofSeconds(6);

    @Required
    @Option(name = "--operators", description = "Operator addresses of all daemons, with commas")
    private String operators = "";

    @Required
    @Option(name = "--platform", description = "Address of the platform stand-in")
    private String platform = "";

    @Required
    @Option(name = "--cuts", description = "File of cut links that the daemons read")
    private String cuts = "";

    @Required
    @Option(name = "--inside", description = "Ids of the VMs of the data centre that is cut, with commas")
    private String inside = "";

    @Required
    @Option(name = "--outside", description = "Ids of all other VMs, with commas")
    private String outside = "";

    @Option(name = "--tickets", description = "Number of tickets under each fault")
    private int tickets = 10;

    private long lastNumber = 1;

    /** Runs all rows. */
    public static void main(String[] args) throws IOException, InterruptedException {
        SingleCommand.singleCommand(TicketsBench.class).parse(args).run();
    }

    private void run() throws IOException, InterruptedException {
        List<SpreadRow> rows = new ArrayList<>();
        rows.add(row("none", "", "none", TICKET_INTERVAL));
        rows.add(row("platform down after the first reader", "", "down-after-reader", PLATFORM_RECOVERY));
        rows.add(row("one data centre hears no other", outside + ">" + inside, "none", TICKET_INTERVAL));
        rows.add(row("one data centre is heard by no other", inside + ">" + outside, "none", TICKET_INTERVAL));
        System.out.println(SpreadRow.HEADER);
        rows.forEach(row -> System.out.println(row.toText()));
        rows.forEach(row -> System.out.println(row.toJson()));
    }

    private SpreadRow row(String name, String cut, String platformFault, Duration pause)
            throws IOException, InterruptedException {
        Files.writeString(Path.of(cuts), cut + "\n");
        if (!cut.isEmpty()) {
            LockSupport.parkNanos(CUT_SETTLING_TIME.toNanos());
        }
        List<URI> daemons = Arrays.stream(operators.split(","))
                .map(address -> URI.create("http://" + address))
                .toList();
        List<Long> millis = new ArrayList<>();
        for (int i = 0; i < tickets; i++) {
            millis.addAll(publish(daemons, platformFault));
            LockSupport.parkNanos(pause.toNanos());
        }
        Files.writeString(Path.of(cuts), "");
        long[] times = millis.stream().mapToLong(Long::longValue).toArray();
        return new SpreadRow(name, tickets, tickets * daemons.size(), times);
    }

    /** Publishes one ticket and returns how long it took to come into force, for each daemon on which it did. */
    private List<Long> publish(List<URI> daemons, String platformFault) throws IOException, InterruptedException {
        PlatformControl control = new PlatformControl(URI.create(platform));
        control.setFault(platformFault);
        long number = ++lastNumber;
        long publishedAtMillis = System.currentTimeMillis();
        control.publish("{\"ticket\": " + number + ", \"services\": {\"spread\": {\"floor\": " + number
                + ", \"detectionWeight\": 0.5}}}");
        awaitAll(daemons, number);
        control.setFault("none");
        return new InForceTimes(daemons)
                .of(number).stream().map(time -> time - publishedAtMillis).toList();
    }

    private static void awaitAll(List<URI> daemons, long number) throws InterruptedException {
        try {
            new DaemonStatus(daemons).awaitTicket(number, System.nanoTime(), TICKET_TIMEOUT);
        } catch (IOException e) {
            System.err.println(e.getMessage());
            LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1));
        }
    }
}
