package io.coppershelf.catalog;

import java.time.Duration;
import java.util.function.Consumer;

/** Reads what the platform publishes. All calls return at once; results come on the control thread. */
public interface CatalogReader {
    /** Why a reading failed. */
    enum Failure {
        /** The platform no longer has the changes since the given revision; a complete reading is needed. */
        HISTORY_LOST,
        /** No valid answer in time. */
        UNAVAILABLE,
        /** What was read is older than what was asked for. */
        TOO_OLD
    }

    /** Hears of the result of one reading. */
    interface Listener {
        /** The reading succeeded. */
        void readSucceeded(CatalogChange change);

        /** The reading failed. */
        void readFailed(Failure failure, String reason);
    }

    /** Reads configuration and servers completely. */
    void readAll(Listener listener);

    /**
     * Reads what has changed after a revision.
     *
     * @param wait how long the platform waits for a change
     */
    void readChanges(long revision, Duration wait, Listener listener);

    /**
     * Reads the configuration alone, from a replica that may lag.
     *
     * @param revision the revision that is known to be published; an older one counts as {@link Failure#TOO_OLD}
     */
    void readConfigurationAllowingStale(long revision, Consumer<FleetConfiguration> onRead, Runnable onFailure);
}
