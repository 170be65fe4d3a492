package io.coppershelf.operator.internal;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/** Writes each log record as one line and flushes it. */
public final class LineHandler extends Handler {
    private final OutputStream out;

    /** Creates a handler that writes to the stream. */
    public LineHandler(OutputStream out) {
        this.out = out;
        setFormatter(new LineFormatter());
    }

    @Override
    public synchronized void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        Formatter formatter = getFormatter();
        try {
            out.write(formatter.format(record).getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException e) {
            reportError("a log line could not be written", e, java.util.logging.ErrorManager.WRITE_FAILURE);
        }
    }

    @Override
    public synchronized void flush() {}

    @Override
    public synchronized void close() {}
}
