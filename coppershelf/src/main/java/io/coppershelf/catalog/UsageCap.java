package io.coppershelf.catalog;

/**
 * The usage cap of a tenant: a token bucket over the requests of all VMs together.
 *
 * @param perSecond the requests a second that refill the bucket, above 0
 * @param burst the requests by which the tenant may exceed the rate for a moment, at least 0
 */
public record UsageCap(double perSecond, double burst) {
    /**
     * Checks the figures.
     *
     * @throws IllegalArgumentException if the rate is not positive or the burst is negative
     */
    public UsageCap {
        boolean isValid = perSecond > 0 && burst >= 0 && Double.isFinite(perSecond) && Double.isFinite(burst);
        if (!isValid) {
            throw new IllegalArgumentException("not a usage cap: rate " + perSecond + ", burst " + burst);
        }
    }
}
