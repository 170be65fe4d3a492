package io.coppershelf.bench.backend;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.coppershelf.ticket.ObjectSpec;
import io.coppershelf.ticket.RouteSpec;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.TicketDocument;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Runs all backend servers that a ticket names, in one process. */
@Command(name = "backends", description = "Runs stand-ins for the backend servers of a ticket")
public final class BackendMain {
    @Option(name = "--ticket", description = "The ticket that names the servers")
    @Required
    private String ticket = "";

    @Option(name = "--admin-port", description = "The TCP port of the admin interface on 127.0.0.1")
    private int adminPort = 9190;

    /** Runs until the process is ended. */
    public static void main(String[] args) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "4000");
        BackendMain main = SingleCommand.singleCommand(BackendMain.class).parse(args);
        BackendFarm farm = BackendFarm.start(serversOf(Path.of(main.ticket)), main.adminPort);
        Runtime.getRuntime().addShutdownHook(new Thread(farm::stop));
        System.out.println("[backends] " + farm.size() + " servers are ready, admin on port " + farm.adminPort() + ".");
    }

    /** Returns the servers that a ticket file names. */
    public static List<ServerSpec> serversOf(Path file) throws IOException {
        return specsOf(file, ServerSpec.class);
    }

    /** Returns the routes that a ticket file names. */
    public static List<RouteSpec> routesOf(Path file) throws IOException {
        return specsOf(file, RouteSpec.class);
    }

    private static <T extends ObjectSpec> List<T> specsOf(Path file, Class<T> type) throws IOException {
        return TicketDocument.parse(Files.readString(file)).objects().stream()
                .flatMap(state -> state.spec().stream())
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }
}
