package io.coppershelf.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.coppershelf.daemon.Daemon;
import io.coppershelf.operator.Logging;
import io.coppershelf.settings.Settings;
import io.coppershelf.settings.SettingsFile;
import java.nio.file.Path;

/** Runs the daemon of an entry VM. */
@Command(name = "entry", description = "Runs the daemon of an entry VM until it receives SIGTERM")
@ExitCodes(
        codes = {ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE, ExitCode.INVALID_FILE},
        descriptions = {
            "stopped as asked, nothing cut off",
            "could not start",
            "the command line is not valid",
            "the settings are not valid"
        })
public final class EntryCommand implements CliCommand {
    @Required
    @Option(name = "--settings", description = "The settings file", title = "FILE")
    private String file = "";

    @Override
    public int run(Console console) throws InterruptedException {
        Settings settings = SettingsFile.read(Path.of(file));
        Logging.configure(console.err());
        Daemon.runUntilTerminated(settings);
        return ExitCode.OK;
    }
}
