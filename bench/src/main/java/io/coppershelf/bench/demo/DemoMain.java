package io.coppershelf.bench.demo;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.coppershelf.bench.backend.BackendAdmin;
import io.coppershelf.bench.fleet.AddressList;
import io.coppershelf.bench.fleet.DaemonStatus;
import io.coppershelf.bench.fleet.PlatformControl;
import io.coppershelf.bench.fleet.TicketFile;
import java.net.URI;
import java.nio.file.Path;

/** Runs the demonstration against a fleet that the script has started; exits with status 1 if a promise was broken. */
@Command(name = "demo", description = "Shows the main job against running daemons and stand-ins")
public final class DemoMain {
    @Option(name = "--ticket", description = "The first ticket")
    @Required
    private String ticket = "";

    @Option(name = "--callers", description = "The addresses of the daemons for callers, with commas")
    @Required
    private String callers = "";

    @Option(name = "--operators", description = "The addresses of the daemons for operators, with commas")
    @Required
    private String operators = "";

    @Option(name = "--platform", description = "The address of the platform stand-in")
    @Required
    private String platform = "";

    @Option(name = "--backend-admin-port", description = "The admin port of the backend stand-ins")
    @Required
    private int backendAdminPort;

    /** Runs the demonstration. */
    public static void main(String[] args) throws Exception {
        DemoMain main = SingleCommand.singleCommand(DemoMain.class).parse(args);
        boolean areGuaranteesKept = main.demonstration().run();
        System.out.println(areGuaranteesKept ? "All promises were kept." : "A PROMISE WAS BROKEN.");
        System.exit(areGuaranteesKept ? 0 : 1);
    }

    private Demonstration demonstration() throws Exception {
        return new Demonstration(
                TicketFile.read(Path.of(ticket)),
                AddressList.parse(callers),
                new DaemonStatus(AddressList.parse(operators)),
                new PlatformControl(URI.create(platform)),
                new BackendAdmin(backendAdminPort));
    }
}
