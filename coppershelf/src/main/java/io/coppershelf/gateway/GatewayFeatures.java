package io.coppershelf.gateway;

import java.util.Optional;

/**
 * What a deployment asks for beyond the features that all have.
 *
 * @param hasTenants whether callers are identified by API keys
 * @param quota how strictly the usage caps of tenants hold, empty if there are no caps
 * @param isPrioritized whether requests compete for room by their cost to callers
 * @param isReusePreferred whether servers to which the VM has a connection are preferred
 */
public record GatewayFeatures(
        boolean hasTenants, Optional<QuotaBounds> quota, boolean isPrioritized, boolean isReusePreferred) {
    /** The features of a deployment that asks for none of these. */
    public static final GatewayFeatures NONE = new GatewayFeatures(false, Optional.empty(), false, false);
}
