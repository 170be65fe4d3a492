package io.coppershelf.mesh;

import io.coppershelf.catalog.CatalogReader;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Fetches a configuration that was announced: from the platform, else from another VM, and again after a pause until it
 * is in force. Not safe for several threads.
 */
final class ConfigurationFetcher {
    /** Pause before a configuration that could not be read is read again; it doubles each time. */
    static final long FIRST_PAUSE_MILLIS = 150;
    /** Longest such pause, well under the time in which a change has to be in force. */
    static final long LONGEST_PAUSE_MILLIS = 1200;

    private final CatalogReader reader;
    private final SnapshotSource peers;
    private final Timer timer;
    private final LongSupplier inForce;
    private final Consumer<FleetConfiguration> onRead;
    private final EventLog log;
    private boolean isFetching;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private long wanted;

    /** Runs something later, on the same thread. */
    interface Timer {
        /** Runs it after a time. */
        void schedule(long millis, Runnable action);
    }

    /**
     * Creates a fetch that wants nothing yet.
     *
     * @param inForce the revision of the configuration in force, 0 if there is none
     * @param onRead takes a configuration that was read; older ones than that in force must be ignored there
     */
    ConfigurationFetcher(
            CatalogReader reader,
            SnapshotSource peers,
            Timer timer,
            LongSupplier inForce,
            Consumer<FleetConfiguration> onRead,
            EventLog log) {
        this.reader = reader;
        this.peers = peers;
        this.timer = timer;
        this.inForce = inForce;
        this.onRead = onRead;
        this.log = log;
    }

    /** Returns the revision of the newest configuration that was announced. */
    long newestAnnounced() {
        return Math.max(wanted, inForce.getAsLong());
    }

    /** Notes that a configuration was published, and fetches it unless it is in force. */
    void announced(long revision) {
        wanted = Math.max(wanted, revision);
        if (isFetching || inForce.getAsLong() >= wanted) {
            return;
        }
        isFetching = true;
        reader.readConfigurationAllowingStale(wanted, this::take, this::askPeer);
    }

    private void askPeer() {
        peers.fetch(
                snapshot -> snapshot.content()
                        .configuration()
                        .filter(found -> found.revision() > inForce.getAsLong())
                        .ifPresentOrElse(this::take, () -> retryLater("the VM that was asked has no newer one")),
                this::retryLater);
    }

    private void take(FleetConfiguration configuration) {
        isFetching = false;
        pauseMillis = FIRST_PAUSE_MILLIS;
        onRead.accept(configuration);
        announced(wanted);
    }

    private void retryLater(String reason) {
        log.important(
                "configuration-not-read",
                Fields.of("wanted", wanted, "inForce", inForce.getAsLong(), "reason", reason));
        long pause = pauseMillis;
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, 2 * pauseMillis);
        timer.schedule(pause, () -> {
            isFetching = false;
            announced(wanted);
        });
    }
}
