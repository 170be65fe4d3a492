package io.coppershelf.operator.internal;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class LineHandlerTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final LineHandler handler = new LineHandler(out);

    @Test
    void writesUtcTimeLevelAndMessage() {
        handler.publish(record("[peer] Connected to herning-2."));

        assertThat(written()).isEqualTo("2026-12-03T22:14:05.120Z INFO [peer] Connected to herning-2.\n");
    }

    @Test
    void keepsMessageWithLineBreaksAndCausesOnOneLine() {
        LogRecord record = record("[peer] Lost\n it.");
        record.setThrown(new IllegalStateException("outer\nfailure", new IOException("inner")));

        handler.publish(record);

        assertThat(written().lines().count()).isEqualTo(1);
        assertThat(written())
                .contains("[peer] Lost |  it. Cause: java.lang.IllegalStateException: outer | failure at ");
        assertThat(written()).contains(" Cause: java.io.IOException: inner at ");
    }

    private static LogRecord record(String message) {
        LogRecord record = new LogRecord(Level.INFO, message);
        record.setInstant(Instant.parse("2026-12-03T22:14:05.120Z"));
        return record;
    }

    private String written() {
        return out.toString(StandardCharsets.UTF_8);
    }
}
