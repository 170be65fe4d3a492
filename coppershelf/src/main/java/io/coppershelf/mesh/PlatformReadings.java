package io.coppershelf.mesh;

import io.coppershelf.catalog.CatalogChange;
import io.coppershelf.catalog.CatalogReader;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The readings of the platform by this VM, one at a time. A result that can't be applied counts as a failed reading, so
 * that the platform is read again, completely. Confined to the control thread.
 */
final class PlatformReadings {
    /**
     * Longest time that the platform waits for a change; a reading without changes confirms that the catalog is
     * current.
     */
    private static final Duration CHANGE_WAIT = Duration.ofMillis(100);

    private final CatalogReader reader;
    private final PlatformReadSchedule schedule;
    private final Supplier<ServerList> registered;
    private final Receiver receiver;
    private final EventLog log;
    private Optional<ReadingListener> inProgress = Optional.empty();
    private boolean needsComplete = true;

    /** Receives the results of readings. */
    interface Receiver {
        /**
         * Applies the result of a reading.
         *
         * @param requested the list whose changes were read; other VMs may have reported some of them meanwhile
         */
        void read(CatalogChange change, ServerList requested);

        /** Called when the platform could not be read. */
        void notRead(String reason);
    }

    /**
     * Creates an instance whose first reading is a complete one.
     *
     * @param registered returns the servers as last read
     */
    PlatformReadings(
            CatalogReader reader,
            PlatformReadSchedule schedule,
            Supplier<ServerList> registered,
            Receiver receiver,
            EventLog log) {
        this.reader = reader;
        this.schedule = schedule;
        this.registered = registered;
        this.receiver = receiver;
        this.log = log;
    }

    /** Returns whether the next reading is a complete one, as changes can't be applied to what is known. */
    boolean needsComplete() {
        return needsComplete;
    }

    /** Makes the next reading a complete one. */
    void requireComplete() {
        needsComplete = true;
    }

    /** Records that the complete state was received from another VM. */
    void receivedComplete() {
        needsComplete = false;
    }

    /**
     * Starts a reading if it is due and none is in progress.
     *
     * @param rank the rank of this VM in the shared order, from 0
     * @param vmAgeNanos the time since the start of this VM
     */
    void poll(int rank, long vmAgeNanos, long nowNanos) {
        if (inProgress.isPresent() || !schedule.isDue(rank, vmAgeNanos, nowNanos)) {
            return;
        }
        ReadingListener listener = new ReadingListener();
        inProgress = Optional.of(listener);
        try {
            start(listener);
        } catch (RuntimeException e) {
            listener.readFailed(CatalogReader.Failure.UNAVAILABLE, e.toString());
        }
    }

    private void start(CatalogReader.Listener listener) {
        if (needsComplete) {
            reader.readAll(listener);
        } else {
            reader.readChanges(registered.get().revision(), CHANGE_WAIT, listener);
        }
    }

    /** Ends the reading in progress; only the first result of a reading counts. */
    private final class ReadingListener implements CatalogReader.Listener {
        private final ServerList requested = registered.get();

        @Override
        public void readSucceeded(CatalogChange change) {
            if (!end()) {
                return;
            }
            needsComplete = false;
            try {
                receiver.read(change, requested);
            } catch (RuntimeException e) {
                // A part of the change may be applied, so later changes can't be applied to what is known.
                needsComplete = true;
                log.important(
                        "platform-change-not-applied",
                        Fields.of("revision", change.revision(), "reason", e.toString()));
                schedule.readFailed(System.nanoTime());
            }
        }

        @Override
        public void readFailed(CatalogReader.Failure failure, String reason) {
            if (!end()) {
                return;
            }
            if (failure == CatalogReader.Failure.HISTORY_LOST) {
                needsComplete = true;
                log.important("platform-history-lost", Fields.of("reason", reason));
                return;
            }
            schedule.readFailed(System.nanoTime());
            receiver.notRead(reason);
        }

        /** Returns whether the reading ends now; it has ended before if it is no longer in progress. */
        private boolean end() {
            boolean endsNow = inProgress.isPresent() && inProgress.get() == this;
            if (endsNow) {
                inProgress = Optional.empty();
            }
            return endsNow;
        }
    }
}
