package io.coppershelf.operator.internal;

import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats a log record as one line: UTC time, level, message, and an abbreviated chain of causes.
 *
 * <pre>{@code
 * 2026-12-03T22:14:05.120Z INFO [peer] Connected to herning-2.
 * }</pre>
 */
final class LineFormatter extends Formatter {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);
    private static final int MAX_CAUSES = 5;

    @Override
    public String format(LogRecord record) {
        StringBuilder line = new StringBuilder();
        line.append(TIME.format(record.getInstant())).append(' ');
        line.append(record.getLevel().getName()).append(' ');
        line.append(formatMessage(record));
        Throwable cause = record.getThrown();
        for (int i = 0; cause != null && i < MAX_CAUSES; i++) {
            line.append(" Cause: ").append(describe(cause));
            cause = cause.getCause();
        }
        return line.toString().replace("\r", "").replace("\n", " | ") + "\n";
    }

    private static String describe(Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        return trace.length == 0 ? cause.toString() : cause + " at " + trace[0];
    }
}
