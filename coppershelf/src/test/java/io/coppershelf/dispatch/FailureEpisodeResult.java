package io.coppershelf.dispatch;

import io.coppershelf.health.estimate.Observation;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What happened to the requests of a fleet some of whose servers have failure episodes. */
final class FailureEpisodeResult {
    private static final long WINDOW = TimeUnit.SECONDS.toNanos(2);

    /** Why a request was sent to a server in an episode. */
    enum Cause {
        /** It was sent before the episode began. */
        IN_FLIGHT,
        /** No VM had seen a failure of the episode. */
        FIRST,
        /** This VM did not yet know of a failure of the episode. */
        UNKNOWN,
        /** The VM knew of a failure of the episode, but did not suspect the server any more. */
        RETURNED,
        /** The VM suspected the server; the others were full. */
        SUSPECTED,
        /** The server was idle. */
        FLOOR
    }

    private final Map<Cause, Integer> failures = new EnumMap<>(Cause.class);
    private final List<Long> latencies = new ArrayList<>();
    private final List<Long> ended = new ArrayList<>();
    private final List<Long> lost = new ArrayList<>();
    private int episodes;
    private int requests;
    private int refused;
    private int windows;
    private int idleWindows;
    private int brokenFloors;

    void countEpisode() {
        episodes++;
    }

    /** Counts the failure of a request that can't be retried at a server in an episode. */
    void countFailure(Cause cause) {
        failures.merge(cause, 1, Integer::sum);
    }

    void countRequest(Observation end, long tookNanos, long now) {
        requests++;
        ended.add(now);
        refused += end == Observation.SHED ? 1 : 0;
        if (end.isNegative()) {
            lost.add(now);
        } else {
            latencies.add(tookNanos);
        }
    }

    /** Counts a window of two seconds, in which fewer than 0.7 of the healthy servers may have got a request. */
    void countWindow(boolean isIdle, long now) {
        lost.removeIf(time -> time < now - WINDOW);
        ended.removeIf(time -> time < now - WINDOW);
        windows++;
        idleWindows += isIdle ? 1 : 0;
        brokenFloors += isIdle && lost.size() > 0.1 * ended.size() ? 1 : 0;
    }

    /** Returns the failures of requests that can't be retried for each episode. */
    double failuresPerEpisode() {
        return failures.values().stream().mapToInt(Integer::intValue).sum() / (double) Math.max(1, episodes);
    }

    /** Returns the share of the requests that were refused since servers were full. */
    double refusedShare() {
        return refused / (double) requests;
    }

    /** Returns the share of the windows in which fewer than 0.7 of the healthy servers got a request. */
    double idleShare() {
        return idleWindows / (double) windows;
    }

    /** Returns the share of the windows in which this was so while more than a tenth of the requests failed. */
    double brokenFloorShare() {
        return brokenFloors / (double) windows;
    }

    /** Returns the time within which a share of the requests was answered. */
    long latencyMillis(double share) {
        List<Long> sorted = latencies.stream().sorted().toList();
        return TimeUnit.NANOSECONDS.toMillis(sorted.get((int) (share * (sorted.size() - 1))));
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%d episodes, %.2f failures each, refused %.5f, idle %.3f, floor broken %.4f, p50 %d, p99 %d:",
                episodes,
                failuresPerEpisode(),
                refusedShare(),
                idleShare(),
                brokenFloorShare(),
                latencyMillis(0.5),
                latencyMillis(0.99)));
        for (Cause cause : Cause.values()) {
            int count = failures.getOrDefault(cause, 0);
            text.append(String.format(Locale.ROOT, " %s %.2f", cause, count / (double) Math.max(1, episodes)));
        }
        return text.toString();
    }
}
