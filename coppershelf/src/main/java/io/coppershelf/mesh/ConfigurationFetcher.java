package io.coppershelf.mesh;

import io.coppershelf.catalog.CatalogReader;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Fetches an announced configuration from the platform, or else from another VM, and retries after a pause until it is
 * in force. Not thread-safe.
 */
final class ConfigurationFetcher {
    /** Pause before the first retry; it doubles with each further one. */
    static final long FIRST_PAUSE_MILLIS = 150;
    /** Longest pause, well under the time within which a change has to be in force. */
    static final long MAX_PAUSE_MILLIS = 1200;
    /**
     * Time after the first configuration in which an announced one is required: the first may come from a VM or a store
     * that is behind, and keys that it withdraws may be refused everywhere else. Equals the time within which a change
     * has to be in force.
     */
    static final long START_MILLIS = 2500;

    private final CatalogReader reader;
    private final SnapshotSource peers;
    private final Timer timer;
    private final LongSupplier inForce;
    private final Consumer<FleetConfiguration> onRead;
    private final EventLog log;
    private boolean isFetching;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private volatile long announcedVersion;
    private volatile long requiredVersion;
    private boolean isStarting = true;

    /** Runs delayed actions on the same thread. */
    interface Timer {
        /** Runs an action after a delay. */
        void schedule(long millis, Runnable action);
    }

    /**
     * Creates a fetcher without an announced configuration.
     *
     * @param inForce the version of the configuration in force, 0 if there is none
     * @param onRead receives each configuration that was read; it has to ignore those older than the one in force
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

    /** Returns the version of the newest configuration that was announced. */
    long newestAnnounced() {
        return Math.max(announcedVersion, inForce.getAsLong());
    }

    /** Returns whether no newer configuration was announced during the start of this VM than the one in force. */
    boolean isSufficient() {
        return inForce.getAsLong() >= requiredVersion;
    }

    /** Makes no configuration sufficient before another VM has announced one, or the start ends. */
    void requireAnnouncement() {
        if (announcedVersion == 0) {
            requiredVersion = Long.MAX_VALUE;
        }
    }

    /** Records that the first configuration is in force. */
    void started() {
        timer.schedule(START_MILLIS, this::startEnded);
    }

    private void startEnded() {
        isStarting = false;
        requiredVersion = Math.min(requiredVersion, announcedVersion);
    }

    /** Records that a configuration was published, without fetching it. */
    void record(long version) {
        announcedVersion = Math.max(announcedVersion, version);
        requiredVersion = isStarting ? announcedVersion : requiredVersion;
    }

    /** Records that a configuration was published, and fetches it unless it is in force. */
    void announced(long version) {
        record(version);
        if (isFetching || inForce.getAsLong() >= announcedVersion) {
            return;
        }
        isFetching = true;
        reader.readConfigurationAllowingStale(announcedVersion, this::apply, this::fetchFromPeer);
    }

    private void fetchFromPeer() {
        peers.fetch(
                snapshot -> snapshot.content()
                        .configuration()
                        .filter(found -> found.version() > inForce.getAsLong())
                        .ifPresentOrElse(this::apply, () -> retryLater("the VM that was asked has no newer one")),
                this::retryLater);
    }

    private void apply(FleetConfiguration configuration) {
        isFetching = false;
        pauseMillis = FIRST_PAUSE_MILLIS;
        onRead.accept(configuration);
        announced(announcedVersion);
    }

    private void retryLater(String reason) {
        log.important(
                "configuration-not-read",
                Fields.of("wanted", announcedVersion, "inForce", inForce.getAsLong(), "reason", reason));
        long pause = pauseMillis;
        pauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * pauseMillis);
        timer.schedule(pause, () -> {
            isFetching = false;
            announced(announcedVersion);
        });
    }
}
