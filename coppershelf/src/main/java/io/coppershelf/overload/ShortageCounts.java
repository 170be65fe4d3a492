package io.coppershelf.overload;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Counts what was offered, admitted and refused by rank. Not thread-safe. */
public final class ShortageCounts {
    private final int[] offered;
    private final int[] refused;

    ShortageCounts(int ranks) {
        offered = new int[ranks];
        refused = new int[ranks];
    }

    void record(int index, boolean isAdmitted) {
        offered[index]++;
        refused[index] += isAdmitted ? 0 : 1;
    }

    Summary poll(double threshold, double fill, double waitNanos, InputAges ages) {
        List<Integer> admittedByRank = new ArrayList<>();
        List<Integer> refusedByRank = new ArrayList<>();
        for (int i = 0; i < offered.length; i++) {
            admittedByRank.add(offered[i] - refused[i]);
            refusedByRank.add(refused[i]);
            offered[i] = 0;
            refused[i] = 0;
        }
        return new Summary(admittedByRank, refusedByRank, threshold, fill, Duration.ofNanos((long) waitNanos), ages);
    }

    /**
     * The counts of a time while capacity was short.
     *
     * @param admitted admitted requests by rank, the most urgent first
     * @param refused refused requests by rank
     * @param threshold the threshold at the end, 0 admits nothing beyond the floor
     * @param fill the requests at the servers for each slot
     * @param expectedWait the expected wait in a server's queue
     * @param ages the ages of what the fill was estimated from
     */
    public record Summary(
            List<Integer> admitted,
            List<Integer> refused,
            double threshold,
            double fill,
            Duration expectedWait,
            InputAges ages) {
        /** Copies the lists. */
        public Summary {
            admitted = List.copyOf(admitted);
            refused = List.copyOf(refused);
        }

        /** Returns the number of requests that arrived. */
        public int offered() {
            return totalAdmitted()
                    + refused.stream().mapToInt(Integer::intValue).sum();
        }

        /** Returns the number of admitted requests of all ranks. */
        public int totalAdmitted() {
            return admitted.stream().mapToInt(Integer::intValue).sum();
        }
    }
}
