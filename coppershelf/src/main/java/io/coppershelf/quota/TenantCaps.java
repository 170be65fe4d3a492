package io.coppershelf.quota;

import io.coppershelf.catalog.UsageCap;
import java.util.Optional;

/** The usage caps of the configuration in force. */
public interface TenantCaps {
    /** Returns the version of the configuration. */
    long version();

    /** Returns the cap of a tenant, empty if it has none. */
    Optional<UsageCap> cap(String tenant);
}
