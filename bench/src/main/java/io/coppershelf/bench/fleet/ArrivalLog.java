package io.coppershelf.bench.fleet;

import io.coppershelf.bench.backend.BackendAdmin;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Samples how many pieces of work a server has been sent, to find how long it kept getting work. */
final class ArrivalLog {
    private static final Duration INTERVAL = Duration.ofMillis(25);
    private static final Duration QUIET_WINDOW = Duration.ofSeconds(1);
    private static final long PROBATION_WORK_PER_WINDOW = 2;

    private final BackendAdmin backends;
    private final String server;
    private final List<Sample> samples = new ArrayList<>();

    ArrivalLog(BackendAdmin backends, String server) {
        this.backends = backends;
        this.server = server;
    }

    private record Sample(Duration at, long received) {}

    /** Samples for the given time. */
    void sample(Duration duration) throws IOException, InterruptedException {
        long start = System.nanoTime();
        for (long now = start; now - start < duration.toNanos(); now = System.nanoTime()) {
            samples.add(new Sample(Duration.ofNanos(now - start), backends.received(server)));
            Thread.sleep(INTERVAL.toMillis());
        }
    }

    /**
     * Returns how long the server kept getting work: the first time after which it got no more than the work of a
     * probation in the window that follows. Empty if that never happened.
     */
    Optional<Duration> workEnded() {
        Duration last = samples.get(samples.size() - 1).at();
        return samples.stream()
                .filter(sample -> sample.at().plus(QUIET_WINDOW).compareTo(last) <= 0)
                .filter(sample ->
                        receivedAt(sample.at().plus(QUIET_WINDOW)) - sample.received() <= PROBATION_WORK_PER_WINDOW)
                .map(Sample::at)
                .findFirst();
    }

    private long receivedAt(Duration at) {
        return samples.stream()
                .filter(sample -> sample.at().compareTo(at) <= 0)
                .mapToLong(Sample::received)
                .max()
                .orElse(0);
    }
}
