package io.coppershelf.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import java.net.URI;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsFileTest {
    private static final String VALID = """
            {"vm": "herning-1", "dataCentre": "herning", "host": "127.0.0.1", "callerPort": 8080,
             "peerPort": 8081, "operatorPort": 8082, "platform": "http://127.0.0.1:9000",
             "seeds": [{"host": "127.0.0.2", "peerPort": 8081}]}""";

    @Test
    void readsValidSettingsWithDefaults() {
        Settings settings = SettingsFile.parse(VALID);

        assertThat(settings)
                .isEqualTo(new Settings(
                        "herning-1",
                        "herning",
                        "127.0.0.1",
                        8080,
                        8081,
                        8082,
                        URI.create("http://127.0.0.1:9000"),
                        java.util.List.of(new Settings.Seed("127.0.0.2", 8081)),
                        20,
                        8,
                        16_384));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            "vm": "herning-1"             | "vm": "Herning 1"               | /vm: must be 1 to 63 lower-case letters
            "vm": "herning-1",            |                                 | (document): key "vm" is missing
            "vm": "herning-1"             | "vm": "herning-1", "wm": 1      | (document): key "wm" is unknown
            "vm": "herning-1"             | "vm": "herning-1", "vm": "b"    | Duplicate field 'vm'
            "host": "127.0.0.1"           | "host": "localhost"             | /host: must be an IP number, but is "localhost"
            "host": "127.0.0.2"           | "host": "x"                     | /seeds/0/host: must be an IP number
            "callerPort": 8080            | "callerPort": "8080"            | /callerPort: must be integer, but is string
            "callerPort": 8080            | "callerPort": 0                 | /callerPort: must be at least 1, but is 0
            "callerPort": 8080            | "callerPort": 8081              | /peerPort: must differ from /callerPort
            "http://127.0.0.1:9000"       | "ftp://127.0.0.1:9000"          | /platform: must be http://HOST:PORT
            "http://127.0.0.1:9000"       | "http://127.0.0.1:9000/x"       | /platform: must be http://HOST:PORT
            "seeds": [                    | "seeds": [4,                    | /seeds/0: must be object, but is integer
            "seeds": [                    | "seeds": [[[                    | must be JSON, but line 3
            """)
    void namesEachProblemWithItsPath(String valid, String invalid, String expected) {
        String text = VALID.replace(valid, invalid == null ? "" : invalid);

        CoppershelfException failure = assertThrows(CoppershelfException.class, () -> SettingsFile.parse(text));

        assertThat(failure.kind()).isEqualTo(ErrorKind.INVALID_SETTINGS);
        assertThat(failure).hasMessageThat().contains(expected);
    }

    @Test
    void namesAllProblemsAtOnce() {
        String text = VALID.replace("8080", "0").replace("127.0.0.1\"", "h\"").replace("\"seeds\"", "\"seed\"");

        CoppershelfException failure = assertThrows(CoppershelfException.class, () -> SettingsFile.parse(text));

        assertThat(failure.getMessage().lines().count()).isEqualTo(4);
    }

    @Test
    void rejectsFileThatDoesNotExist() {
        CoppershelfException failure =
                assertThrows(CoppershelfException.class, () -> SettingsFile.read(Path.of("no-such-file.json")));

        assertThat(failure.kind()).isEqualTo(ErrorKind.INVALID_SETTINGS);
        assertThat(failure).hasMessageThat().contains("no-such-file.json");
    }
}
