package io.coppershelf.operator;

import io.coppershelf.operator.internal.LineHandler;
import io.coppershelf.operator.internal.ShutdownSafeLogManager;
import java.io.OutputStream;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Sets up logging of a process: one line per record, with UTC times, to one stream. */
public final class Logging {
    private static final String MANAGER_PROPERTY = "java.util.logging.manager";

    private Logging() {}

    /** Installs the log manager of the process; must be called before anything is logged. */
    public static void prepare() {
        System.setProperty(MANAGER_PROPERTY, ShutdownSafeLogManager.class.getName());
    }

    /** Writes all records of level {@code INFO} and above to the stream until the process ends. */
    public static void configure(OutputStream out) {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.INFO);
        root.addHandler(new LineHandler(out));
        ShutdownSafeLogManager.keepHandlers();
    }
}
