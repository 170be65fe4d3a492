package io.coppershelf.bench.tickets;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.coppershelf.daemon.Daemon;
import io.coppershelf.operator.Logging;
import io.coppershelf.settings.SettingsFile;
import java.nio.file.Path;
import java.util.List;

/** Runs the production daemon with a filter by which the bench can cut its links to other VMs. */
@Command(name = "cuttable-daemon", description = "Runs a daemon whose links a file can cut")
public final class CuttableDaemon {
    @Required
    @Option(name = "--settings", description = "The settings file")
    private String settings = "";

    @Required
    @Option(name = "--cuts", description = "The file of cut links, read again and again")
    private String cuts = "";

    /** Runs the daemon until the process is terminated. */
    public static void main(String[] args) throws InterruptedException {
        CuttableDaemon daemon =
                SingleCommand.singleCommand(CuttableDaemon.class).parse(args);
        Logging.configure(System.err);
        Daemon.runUntilTerminated(
                SettingsFile.read(Path.of(daemon.settings)), List.of(new LinkCuts(Path.of(daemon.cuts))));
    }
}
