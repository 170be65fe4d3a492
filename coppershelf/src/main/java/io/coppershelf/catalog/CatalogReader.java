package io.coppershelf.catalog;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * Reads the configuration and the servers that the platform publishes. Calls don't block; results are delivered on the
 * control thread.
 */
public interface CatalogReader {
    /** Why a reading failed. */
    enum Failure {
        /**
         * The platform does not have the changes since the given revision, since its history is shorter or its store
         * was restored from an older copy; a complete reading is needed.
         */
        HISTORY_LOST,
        /** There was no valid answer in time. */
        UNAVAILABLE,
        /** The configuration that was read is older than the requested version. */
        TOO_OLD
    }

    /** Receives the result of one reading. */
    interface Listener {
        /** Called when the reading has succeeded. */
        void readSucceeded(CatalogChange change);

        /** Called when the reading has failed. */
        void readFailed(Failure failure, String reason);
    }

    /** Reads configuration and servers completely. */
    void readAll(Listener listener);

    /**
     * Reads the changes after a revision.
     *
     * @param wait the longest time that the platform waits for a change
     */
    void readChanges(CatalogRevision revision, Duration wait, Listener listener);

    /**
     * Reads the configuration alone. The reading may come from a replica that lags.
     *
     * @param version the version that is known to be published; a reading of an older one fails as
     *     {@link Failure#TOO_OLD}
     */
    void readConfigurationAllowingStale(long version, Consumer<FleetConfiguration> onRead, Runnable onFailure);
}
