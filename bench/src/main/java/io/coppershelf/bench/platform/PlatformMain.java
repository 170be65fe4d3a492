package io.coppershelf.bench.platform;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Runs a platform stand-in until the process is terminated. */
@Command(name = "platform", description = "Runs a stand-in for the platform")
public final class PlatformMain {
    private static final int EXIT_USAGE = 2;

    @Option(name = "--host", description = "IP number to listen on")
    private String host = "127.0.0.1";

    @Required
    @Option(name = "--port", description = "Port to listen on, 0 for any")
    private int port;

    @Option(name = "--tickets", description = "Directory of tickets, published in the order of their file names")
    private String tickets = "";

    @Option(name = "--vms", description = "File with the list of VMs")
    private String vms = "";

    /** Starts the stand-in and publishes the files given on the command line. */
    public static void main(String[] args) throws IOException {
        try {
            SingleCommand.singleCommand(PlatformMain.class).parse(args).run();
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    private void run() throws IOException {
        PlatformStandIn standIn = PlatformStandIn.start(host, port);
        if (!vms.isEmpty()) {
            String document = Files.readString(Path.of(vms));
            standIn.publishVms(JsonMapper.builder().build().readTree(document).path("vms"));
        }
        for (Path file : ticketFiles()) {
            standIn.publishTicket(Files.readString(file));
        }
        System.out.println("platform stand-in listens on " + standIn.address());
    }

    private List<Path> ticketFiles() throws IOException {
        if (tickets.isEmpty()) {
            return List.of();
        }
        try (Stream<Path> files = Files.list(Path.of(tickets))) {
            return files.filter(file -> file.toString().endsWith(".json"))
                    .sorted()
                    .toList();
        }
    }
}
