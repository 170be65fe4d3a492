package io.coppershelf.bench.decisions.baseline;

import io.coppershelf.ticket.ServerSpec;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Ejects servers whose share of successes in a window of 10 s lies 1.9 standard deviations or more below the mean of
 * all servers.
 */
public final class SuccessRateOutliers implements Detector {
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double DEVIATIONS = 1.9;
    private static final int MIN_ATTEMPTS = 5;

    private final Map<String, Count> counts = new HashMap<>();
    private final TimedEjections ejections = new TimedEjections();
    private long windowStartNanos;

    @Override
    public void onAttemptEnded(String server, boolean failed, long nowNanos) {
        counts.computeIfAbsent(server, absent -> new Count()).add(failed);
    }

    @Override
    public void onProbeEnded(String server, boolean answered) {}

    @Override
    public Set<String> ejected(Collection<ServerSpec> servers, long nowNanos) {
        if (nowNanos - windowStartNanos >= WINDOW_NANOS) {
            windowStartNanos = nowNanos;
            ejectOutliers(servers.size(), nowNanos);
            counts.clear();
        }
        return ejections.ejected(nowNanos);
    }

    private void ejectOutliers(int servers, long nowNanos) {
        counts.values().removeIf(count -> count.attempts < MIN_ATTEMPTS);
        double mean =
                counts.values().stream().mapToDouble(Count::rate).average().orElse(1);
        double variance = counts.values().stream()
                .mapToDouble(count -> (count.rate() - mean) * (count.rate() - mean))
                .average()
                .orElse(0);
        double limit = mean - DEVIATIONS * Math.sqrt(variance);
        counts.forEach((server, count) -> {
            if (count.rate() < limit) {
                ejections.eject(server, servers, nowNanos);
            }
        });
    }

    private static final class Count {
        private int attempts;
        private int successes;

        void add(boolean failed) {
            attempts++;
            successes += failed ? 0 : 1;
        }

        double rate() {
            return (double) successes / attempts;
        }
    }
}
