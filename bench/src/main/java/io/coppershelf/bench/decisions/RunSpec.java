package io.coppershelf.bench.decisions;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * One run: a service, a fault, a load, a policy and a seed.
 *
 * @param service the service
 * @param fault the fault
 * @param load the load as a share of what the slots can carry
 * @param policy the decisions
 * @param seed the seed; runs of other policies with the same seed see the same arrivals
 * @param endNanos when arrivals end
 */
record RunSpec(ServiceProfile service, Fault fault, double load, Policy policy, int seed, long endNanos) {
    /** What a source of random numbers is for. */
    enum Stream {
        PLAN,
        ARRIVALS,
        SERVERS,
        ENTRIES,
        DECISIONS
    }

    /** Returns a source of random numbers, the same in every run of the same seed, service and fault. */
    RandomGenerator random(Stream stream) {
        long mixed = seed;
        for (int part : new int[] {
            service.name().hashCode(), fault.name().hashCode(), stream.name().hashCode()
        }) {
            mixed = mixed * 1_000_003 + part;
        }
        return new SplittableRandom(mixed);
    }
}
