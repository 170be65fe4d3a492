package io.coppershelf.catalog;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the tenant of a request by its API key, in constant time. Keys are secrets, so this class has no text form.
 * Immutable.
 */
public final class TenantTable {
    /** The table without tenants. */
    public static final TenantTable EMPTY = new TenantTable(Map.of(), Map.of(), 0);

    private final Map<String, Tenant> byName;
    private final Map<String, Tenant> byKey;
    private final int ambiguousKeys;

    private TenantTable(Map<String, Tenant> byName, Map<String, Tenant> byKey, int ambiguousKeys) {
        this.byName = byName;
        this.byKey = byKey;
        this.ambiguousKeys = ambiguousKeys;
    }

    /**
     * Returns a table of tenants. A key that several tenants hold identifies none of them, and neither does an empty
     * one.
     *
     * @param keysByTenant the keys of each tenant, which may have none
     * @throws IllegalArgumentException if two tenants have the same name
     */
    public static TenantTable of(Map<Tenant, ? extends Collection<String>> keysByTenant) {
        Map<String, Tenant> byName = new HashMap<>();
        Map<String, Tenant> byKey = new HashMap<>();
        Set<String> ambiguous = new HashSet<>();
        keysByTenant.forEach((tenant, keys) -> {
            if (byName.put(tenant.name(), tenant) != null) {
                throw new IllegalArgumentException("two tenants have the name " + tenant.name());
            }
            for (String key : Set.copyOf(keys)) {
                if (!key.isEmpty() && byKey.putIfAbsent(key, tenant) != null) {
                    ambiguous.add(key);
                }
            }
        });
        byKey.keySet().removeAll(ambiguous);
        return new TenantTable(byName, byKey, ambiguous.size());
    }

    /** Returns the tenant that holds a key, which is compared exactly. */
    public Optional<Tenant> byKey(String key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /** Returns the tenant with a name. */
    public Optional<Tenant> byName(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns all tenants. */
    public Collection<Tenant> all() {
        return byName.values();
    }

    /** Returns the number of keys that several tenants hold, so that they identify none of them. */
    public int ambiguousKeys() {
        return ambiguousKeys;
    }

    /** Returns the valid keys of each tenant. */
    public Map<Tenant, Set<String>> keysByTenant() {
        Map<Tenant, Set<String>> keys = new HashMap<>();
        byName.values().forEach(tenant -> keys.put(tenant, new HashSet<>()));
        byKey.forEach((key, tenant) -> keys.get(tenant).add(key));
        return keys;
    }

    /** Returns what has changed since the other table, as numbers. */
    public Changes changesSince(TenantTable before) {
        return new Changes(
                missing(byName, before.byName),
                missing(before.byName, byName),
                missing(byKey, before.byKey),
                missing(before.byKey, byKey));
    }

    private static int missing(Map<String, Tenant> present, Map<String, Tenant> other) {
        return (int) present.keySet().stream()
                .filter(name -> !other.containsKey(name))
                .count();
    }

    /**
     * The difference between two tables.
     *
     * @param tenantsAdded the number of new tenants
     * @param tenantsRemoved the number of tenants that are gone
     * @param keysAdded the number of new keys
     * @param keysWithdrawn the number of keys that are no longer valid
     */
    public record Changes(int tenantsAdded, int tenantsRemoved, int keysAdded, int keysWithdrawn) {}
}
