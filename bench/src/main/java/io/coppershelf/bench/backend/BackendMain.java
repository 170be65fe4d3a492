package io.coppershelf.bench.backend;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.coppershelf.bench.fleet.TicketFile;
import java.io.IOException;
import java.nio.file.Path;

/** Runs stand-ins for all backend servers of a ticket in one process. */
@Command(name = "backends", description = "Runs stand-ins for the backend servers of a ticket")
public final class BackendMain {
    @Option(name = "--ticket", description = "The ticket that names the servers")
    @Required
    private String ticket = "";

    @Option(name = "--admin-port", description = "The TCP port of the admin interface on 127.0.0.1")
    private int adminPort = 9190;

    /** Runs until the process is terminated. */
    public static void main(String[] args) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "4000");
        BackendMain main = SingleCommand.singleCommand(BackendMain.class).parse(args);
        BackendFarm farm =
                BackendFarm.start(TicketFile.read(Path.of(main.ticket)).servers(), main.adminPort);
        Runtime.getRuntime().addShutdownHook(new Thread(farm::stop));
        System.out.println("[backends] " + farm.size() + " servers are ready, admin on port " + farm.adminPort() + ".");
    }
}
