package io.coppershelf.operator;

import io.coppershelf.operator.internal.LineHandler;
import java.io.OutputStream;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Sets up the logs of a process: one line a record, in UTC, to one stream. */
public final class Logging {
    private Logging() {}

    /** Sends all records of level {@code INFO} and above to the stream; replaces what was set up before. */
    public static void configure(OutputStream out) {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.INFO);
        root.addHandler(new LineHandler(out));
    }
}
