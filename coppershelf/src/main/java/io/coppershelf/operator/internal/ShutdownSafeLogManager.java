package io.coppershelf.operator.internal;

import java.util.logging.LogManager;

/**
 * A log manager whose handlers stay in place during the shutdown of the process. The manager of the JDK removes them in
 * a shutdown hook of its own, and the log lines of a planned stop would be lost.
 */
public final class ShutdownSafeLogManager extends LogManager {
    private static volatile boolean isLasting;

    /** Makes later calls of {@link #reset} do nothing. */
    public static void keepHandlers() {
        isLasting = true;
    }

    @Override
    public void reset() {
        if (!isLasting) {
            super.reset();
        }
    }
}
