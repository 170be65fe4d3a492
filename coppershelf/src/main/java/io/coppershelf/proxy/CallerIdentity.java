package io.coppershelf.proxy;

import io.coppershelf.catalog.Route;
import io.coppershelf.catalog.Tenant;
import io.coppershelf.catalog.TenantTable;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;

/**
 * Identifies the tenant of a request by its API key, and removes the key and the tenant that the caller states. A
 * request of another VM states the tenant that that VM has identified.
 */
final class CallerIdentity {
    private final HeaderNames names;

    CallerIdentity(HeaderNames names) {
        this.names = names;
    }

    /** The result of an identification. */
    sealed interface Result {
        /** The request may be served, for the tenant if there is one. */
        record Accepted(Optional<Tenant> tenant) implements Result {}

        /** The request needs a valid key and has none; the digest is that of its only key, if it has one. */
        record Rejected(String reason, Optional<String> keyDigest) implements Result {}
    }

    /** Identifies the tenant of a request on the route, and removes the headers of which servers must get no copy. */
    Result identify(CallerRequest request, Route route, TenantTable tenants) {
        HttpHeaders headers = request.headers();
        List<String> keys = headers.getAll(names.apiKey());
        Optional<String> statedTenant = Optional.ofNullable(headers.get(names.tenant()));
        headers.remove(names.apiKey());
        headers.remove(names.tenant());
        // A VM removes the key of a request that it has identified; without a tenant, the stated one is the caller's.
        if (request.relay().isPresent() && keys.isEmpty()) {
            return new Result.Accepted(statedTenant.map(name -> relayedTenant(name, tenants)));
        }
        Optional<Tenant> tenant = keys.size() == 1 ? tenants.byKey(keys.get(0)) : Optional.empty();
        if (tenant.isEmpty() && !route.isPublic()) {
            return new Result.Rejected(
                    reason(keys), keys.size() == 1 ? Optional.of(KeyDigest.of(keys.get(0))) : Optional.empty());
        }
        return new Result.Accepted(tenant);
    }

    /** Returns a tenant that another VM has identified, which may have a configuration that this VM lacks. */
    private static Tenant relayedTenant(String name, TenantTable tenants) {
        return tenants.byName(name).orElseGet(() -> new Tenant(name, Optional.empty(), Optional.empty()));
    }

    private static String reason(List<String> keys) {
        if (keys.isEmpty()) {
            return "the request has no API key";
        }
        return keys.size() > 1 ? "the request has several API keys" : "the API key is not valid";
    }
}
