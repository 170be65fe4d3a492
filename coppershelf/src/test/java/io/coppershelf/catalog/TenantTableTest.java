package io.coppershelf.catalog;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.coppershelf.testing.Catalogs;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class TenantTableTest {
    private static final Tenant FIRST = tenant("first");
    private static final Tenant SECOND = tenant("second");

    /** Guards against a caller who guesses a key up to its case, or a key that is cut or padded on its way. */
    @Test
    void keyIsFoundOnlyIfItIsEqualInEveryCharacter() {
        TenantTable table = TenantTable.of(Map.of(FIRST, List.of("aB3", " padded ")));
        assertThat(table.byKey("aB3")).hasValue(FIRST);
        for (String other : List.of("AB3", "ab3", "aB3 ", " aB3", "aB", "aB33", "padded", "")) {
            assertThat(table.byKey(other)).isEmpty();
        }
    }

    /** Guards against requests without a key that are taken for those of a tenant with an empty one. */
    @Test
    void emptyKeyOfATenantIdentifiesNobody() {
        assertThat(TenantTable.of(Map.of(FIRST, List.of("", "k"))).byKey("")).isEmpty();
    }

    /** Guards against requests that are served and counted for the wrong one of two tenants. */
    @Test
    void keyOfTwoTenantsIdentifiesNeitherAndTheirOtherKeysStayValid() {
        TenantTable table = TenantTable.of(Map.of(FIRST, List.of("k1", "both"), SECOND, List.of("both", "k2")));
        assertThat(table.byKey("both")).isEmpty();
        assertThat(table.byKey("k1")).hasValue(FIRST);
        assertThat(table.byKey("k2")).hasValue(SECOND);
        assertThat(table.ambiguousKeys()).isEqualTo(1);
    }

    /** Guards against a key that counts as held by two tenants because one tenant lists it twice. */
    @Test
    void keyThatATenantListsTwiceIsValid() {
        assertThat(TenantTable.of(Map.of(FIRST, List.of("k", "k"))).byKey("k")).hasValue(FIRST);
    }

    /** Guards against a tenant that disappears, with its cap, when all its keys are withdrawn. */
    @Test
    void tenantWithoutKeysIsKnownByName() {
        TenantTable table = TenantTable.of(Map.of(FIRST, List.of()));
        assertThat(table.byName("first")).hasValue(FIRST);
        assertThat(table.keysByTenant()).containsEntry(FIRST, Set.of());
    }

    /** Guards against keys of a tenant that a second one of its name replaces. */
    @Test
    void tenantsOfOneNameAreRejected() {
        Tenant other = new Tenant("first", Optional.of(1), Optional.empty());
        assertThrows(
                IllegalArgumentException.class, () -> TenantTable.of(Map.of(FIRST, List.of("a"), other, List.of("b"))));
    }

    /** Guards against urgent tenants that wait behind others on a route for everybody. */
    @Test
    void urgencyOfTheTenantTakesPrecedenceOverThatOfTheRoute() {
        Route route = Catalogs.route(RequestKind.ONCE);
        assertThat(new Tenant("urgent", Optional.of(0), Optional.empty()).rankOn(route))
                .isEqualTo(0);
        assertThat(FIRST.rankOn(route)).isEqualTo(route.rank());
    }

    /** Guards against limits on the number or the length of keys. */
    @Test
    void thousandsOfKeysAndAKeyOfFourKilobytesAreFound() {
        List<String> keys = new ArrayList<>(List.of("x".repeat(4096)));
        for (int i = 0; i < 5000; i++) {
            keys.add("key-" + i);
        }
        TenantTable table = TenantTable.of(Map.of(FIRST, keys));
        assertThat(keys.stream().allMatch(key -> table.byKey(key).equals(Optional.of(FIRST))))
                .isTrue();
        assertThat(table.byKey("x".repeat(4095))).isEmpty();
    }

    /** Guards against an operator who can't see in the log whether a withdrawal has arrived. */
    @Test
    void changesAreCounted() {
        TenantTable before = TenantTable.of(Map.of(FIRST, List.of("a", "b")));
        TenantTable after = TenantTable.of(Map.of(FIRST, List.of("b", "c", "d"), SECOND, List.of()));
        assertThat(after.changesSince(before)).isEqualTo(new TenantTable.Changes(1, 0, 2, 1));
    }

    /** Guards against keys in a log line that holds a configuration. */
    @Test
    void textFormHoldsNoKey() {
        TenantTable table = TenantTable.of(Map.of(FIRST, List.of("secret")));
        FleetConfiguration configuration =
                new FleetConfiguration(1, RouteTable.of(List.of()), Map.of(), CallerLimits.DEFAULT, Optional.of(table));
        assertThat(configuration.toString()).doesNotContain("secret");
    }

    private static Tenant tenant(String name) {
        return new Tenant(name, Optional.empty(), Optional.empty());
    }
}
