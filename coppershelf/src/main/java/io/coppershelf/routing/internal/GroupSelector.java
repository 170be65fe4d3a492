package io.coppershelf.routing.internal;

import io.coppershelf.admission.GroupName;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

/**
 * Selects one of the server groups of a service by the power of two choices; the group of this VM's data centre is one
 * of the two and wins a tie.
 *
 * @see <a href="https://doi.org/10.1109/71.963420">Mitzenmacher, The Power of Two Choices in Randomized Load Balancing,
 *     2001</a>
 */
final class GroupSelector {
    private final String ownDataCentre;
    private final RandomGenerator random;

    GroupSelector(String ownDataCentre, RandomGenerator random) {
        this.ownDataCentre = ownDataCentre;
        this.random = random;
    }

    /**
     * Returns the selected group, empty if there is no candidate.
     *
     * @param candidates the groups that may be used
     * @param expectedWaitNanos the last known wait of a group
     */
    Optional<GroupName> select(List<GroupName> candidates, ToLongFunction<GroupName> expectedWaitNanos) {
        if (candidates.size() < 2) {
            return candidates.stream().findFirst();
        }
        GroupName first = candidates.stream()
                .filter(group -> group.dataCentre().equals(ownDataCentre))
                .findFirst()
                .orElseGet(() -> candidates.get(random.nextInt(candidates.size())));
        List<GroupName> others =
                candidates.stream().filter(group -> !group.equals(first)).toList();
        GroupName second = others.get(random.nextInt(others.size()));
        boolean isSecondBetter = expectedWaitNanos.applyAsLong(second) < expectedWaitNanos.applyAsLong(first);
        return Optional.of(isSecondBetter ? second : first);
    }
}
