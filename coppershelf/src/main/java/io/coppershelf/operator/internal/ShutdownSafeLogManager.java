package io.coppershelf.operator.internal;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers during the shutdown of the process. The JDK's log manager removes them in its
 * own shutdown hook, which would lose the log lines of a planned stop.
 */
public final class ShutdownSafeLogManager extends LogManager {
    private static volatile boolean isKeepingHandlers;

    /** Makes later calls of {@link #reset} do nothing. */
    public static void keepHandlers() {
        isKeepingHandlers = true;
    }

    @Override
    public void reset() {
        if (!isKeepingHandlers) {
            super.reset();
        }
    }
}
