package io.coppershelf.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CommandLineTest {
    private final TestConsole console = new TestConsole();

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            bogus                         | 2 | usage: coppershelf
            status                        | 2 | '--at' is missing
            status --at                   | 2 | --at
            status --at nowhere           | 2 | must be HOST:PORT
            tickets --at 127.0.0.1:1,x    | 2 | must be HOST:PORT
            timeline --at a:1 --ticket x  | 2 | can not convert
            entry                         | 2 | '--settings' is missing
            entry --settings none.json    | 3 | none.json can't be read
            settings                      | 2 | coppershelf settings
            settings check                | 2 | FILE
            settings check none.json      | 3 | none.json can't be read
            settings bogus                | 2 | coppershelf settings
            ticket check                  | 2 | FILE
            ticket check none.json        | 3 | none.json: can't be read
            help bogus                    | 2 | no such command: bogus
            status --at 127.0.0.1:1       | 4 | can't be reached
            timeline --at 127.0.0.1:1     | 4 | can't be reached
            """)
    void reportsErrorsOnStandardErrorAndByExitCode(String arguments, int exitCode, String expected) throws Exception {
        int result = console.run(arguments.split(" "));

        assertThat(console.err()).contains(expected);
        assertThat(console.out()).isEmpty();
        assertThat(result).isEqualTo(exitCode);
    }

    @Test
    void reportsThatACommandIsMissing() throws Exception {
        assertThat(console.run()).isEqualTo(2);
        assertThat(console.err()).contains("a command is missing");
    }

    @ParameterizedTest
    @CsvSource({
        "help, usage: coppershelf <command>",
        "help status, EXIT CODES",
        "help ticket check, --whole",
        "status --help, HOST:PORT",
        "settings check -h, FILE"
    })
    void printsHelpOnStandardOutput(String arguments, String expected) throws Exception {
        assertThat(console.run(arguments.split(" "))).isEqualTo(0);
        assertThat(console.out()).contains(expected);
        assertThat(console.err()).isEmpty();
    }

    @Test
    void printsEveryErrorOfATicket(@TempDir Path directory) throws Exception {
        Path file = write(
                directory,
                "1.json",
                "{\"ticket\": 0, \"services\": {\"a\": {\"floor\": -1, \"detectionWeight\": 2}}, \"x\": 1}");

        assertThat(console.run("ticket", "check", file.toString())).isEqualTo(3);
        assertThat(console.err().lines().filter(line -> line.startsWith("  ")).count())
                .isEqualTo(4);
    }

    @Test
    void checksTheWholeConfigurationWithTheWholeOption(@TempDir Path directory) throws Exception {
        Path file = write(directory, "1.json", """
                {"ticket": 1, "services": {"a": {"floor": 1, "detectionWeight": 0.5}},
                 "servers": {"b-1": {"service": "b", "dataCentre": "d", "host": "127.0.0.1", "port": 1,
                                     "slots": 1, "connections": 1}}}""");

        assertThat(console.run("ticket", "check", file.toString())).isEqualTo(0);
        assertThat(console.run("ticket", "check", "--whole", file.toString())).isEqualTo(3);
        assertThat(console.err()).contains("/services/a/floor: must be at most the number of servers, 0, but is 1");
        assertThat(console.err()).contains("/servers/b-1/service: must be a known service, but is \"b\"");
    }

    private static Path write(Path directory, String name, String text) throws IOException {
        return Files.writeString(directory.resolve(name), text);
    }
}
