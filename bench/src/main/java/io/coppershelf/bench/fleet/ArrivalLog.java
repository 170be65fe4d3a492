package io.coppershelf.bench.fleet;

import io.coppershelf.bench.backend.BackendAdmin;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Samples the number of requests that a server has received, to find when they stopped arriving. */
final class ArrivalLog {
    private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(25);
    private static final Duration QUIET_WINDOW = Duration.ofSeconds(1);
    private static final long MAX_PROBATION_REQUESTS_PER_WINDOW = 2;

    private final BackendAdmin backends;
    private final String server;
    private final List<Sample> samples = new ArrayList<>();

    ArrivalLog(BackendAdmin backends, String server) {
        this.backends = backends;
        this.server = server;
    }

    private record Sample(Duration at, long received) {}

    /** Takes samples for the given duration. */
    void sample(Duration duration) throws IOException, InterruptedException {
        long start = System.nanoTime();
        for (long now = start; now - start < duration.toNanos(); now = System.nanoTime()) {
            samples.add(new Sample(Duration.ofNanos(now - start), backends.receivedCount(server)));
            Thread.sleep(SAMPLE_INTERVAL.toMillis());
        }
    }

    /**
     * Returns how long the server kept receiving work: the first time after which it received no more in the following
     * window than a server in probation does. Empty if there is no such time.
     */
    Optional<Duration> workEndedAfter() {
        Duration lastSampleAt = samples.get(samples.size() - 1).at();
        return samples.stream()
                .filter(sample -> sample.at().plus(QUIET_WINDOW).compareTo(lastSampleAt) <= 0)
                .filter(sample -> receivedAt(sample.at().plus(QUIET_WINDOW)) - sample.received()
                        <= MAX_PROBATION_REQUESTS_PER_WINDOW)
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
