package io.coppershelf.overload;

import java.util.Collection;
import java.util.List;

/**
 * The different ranks of the requests of a service, the most urgent first. Immutable.
 *
 * @param sorted the ranks in ascending order, at least one
 */
public record RankOrder(List<Integer> sorted) {
    /** Copies the list. */
    public RankOrder {
        sorted = List.copyOf(sorted);
    }

    /** Returns the order of the ranks. */
    public static RankOrder of(Collection<Integer> ranks) {
        return new RankOrder(ranks.stream().distinct().sorted().toList());
    }

    /** Returns the number of different ranks. */
    public int size() {
        return sorted.size();
    }

    /** Returns the place of a rank; an unknown one has that of the next more urgent rank. */
    public int index(int rank) {
        int index = 0;
        while (index + 1 < sorted.size() && sorted.get(index + 1) <= rank) {
            index++;
        }
        return index;
    }
}
