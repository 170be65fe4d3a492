package io.coppershelf.membership.internal;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.component.ControlThread;
import io.coppershelf.membership.FleetView;
import io.coppershelf.platform.Platform;
import io.coppershelf.platform.Platform.PublishedVms;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reads the platform's VM list periodically; the interval grows with the fleet, which bounds the fleet's total call
 * rate.
 */
public final class VmListReader {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long MIN_INTERVAL_MILLIS = 5_000;
    private static final long INTERVAL_MILLIS_PER_VM = 10;

    private final Platform platform;
    private final ControlThread control;
    private final FleetView.Source fleet;
    private final Random random;
    private final Consumer<PublishedVms> listener;
    private long revision;

    /**
     * Creates a reader.
     *
     * @param seed the seed of the random jitter of the interval
     * @param listener receives each list, on the control thread
     */
    public VmListReader(
            Platform platform,
            ControlThread control,
            FleetView.Source fleet,
            long seed,
            Consumer<PublishedVms> listener) {
        this.platform = platform;
        this.control = control;
        this.fleet = fleet;
        this.listener = listener;
        random = new Random(seed);
    }

    /** Reads the list, and schedules the next read. */
    public void read() {
        var unused = platform.vms(revision, Duration.ZERO)
                .whenComplete((list, failure) -> control.execute(() -> {
                    if (failure == null) {
                        revision = Math.max(revision, list.revision());
                        listener.accept(list);
                    } else {
                        logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
                                "[membership] Can't read the VM list: %s.", failure.getMessage());
                    }
                    control.after(nextInterval(), this::read);
                }));
    }

    private Duration nextInterval() {
        long base = Math.max(
                MIN_INTERVAL_MILLIS,
                INTERVAL_MILLIS_PER_VM * fleet.current().vms().size());
        return Duration.ofMillis(base / 2 + random.nextLong(base));
    }
}
