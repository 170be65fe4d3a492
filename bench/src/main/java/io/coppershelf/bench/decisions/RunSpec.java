package io.coppershelf.bench.decisions;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * One run: a service, a fault, a load, a policy and a seed.
 *
 * @param service the service
 * @param fault the fault
 * @param load the load as a share of the capacity of the slots
 * @param policy the measured policy
 * @param seed the seed; runs of different policies with the same seed have the same arrivals
 * @param endNanos the time at which arrivals end
 */
record RunSpec(ServiceProfile service, Fault fault, double load, Policy policy, int seed, long endNanos) {
    /** The uses of random numbers. Each has a source of its own, seeded with the name of the constant. */
    enum Stream {
        PLAN,
        ARRIVALS,
        SERVERS,
        ENTRIES,
        DECISIONS
    }

    /** Returns a source of random numbers that is the same in every run with the same seed, service and fault. */
    RandomGenerator random(Stream stream) {
        long mixed = seed;
        for (int hash : new int[] {
            service.name().hashCode(), fault.name().hashCode(), stream.name().hashCode()
        }) {
            mixed = mixed * 1_000_003 + hash;
        }
        return new SplittableRandom(mixed);
    }
}
