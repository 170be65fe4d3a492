package io.coppershelf.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.coppershelf.settings.Settings;
import io.coppershelf.settings.SettingsFile;
import java.nio.file.Path;

/** Checks a settings file. */
@Command(name = "check", description = "Checks a settings file and names every error in it")
@ExitCodes(
        codes = {ExitCode.OK, ExitCode.USAGE, ExitCode.INVALID_FILE},
        descriptions = {"the file is valid", "the command line is not valid", "the file is not valid"})
public final class SettingsCheckCommand implements CliCommand {
    @Required
    @Arguments(description = "The settings file", title = "FILE")
    private String file = "";

    @Override
    public int run(Console console) {
        Settings settings = SettingsFile.read(Path.of(file));
        console.out()
                .println(file + ": valid settings of VM " + settings.vm() + " in data centre " + settings.dataCentre());
        return ExitCode.OK;
    }
}
