package io.coppershelf.ticket;

import static com.google.common.truth.Truth.assertThat;
import static io.coppershelf.ticket.TestTickets.route;
import static io.coppershelf.ticket.TestTickets.server;
import static io.coppershelf.ticket.TestTickets.ticket;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationStoreTest {
    private static final ObjectState ROTAVIS = ObjectState.present(new ServiceSpec("rotavis", 7, 0.8));
    private static final ObjectState NO_ROTAVIS = ObjectState.removed(new ObjectKey(ObjectType.SERVICE, "rotavis"));

    private final ConfigurationStore store = new ConfigurationStore();

    @Test
    void keepsStateOfHigherTicketWhenLowerOneArrivesLater() {
        store.apply(ticket(5, ROTAVIS));

        ApplyResult result = store.apply(ticket(3, NO_ROTAVIS));

        assertThat(result.hasNoEffect()).isTrue();
        assertThat(store.snapshot().service("rotavis")).isPresent();
        assertThat(store.snapshot().serviceTicket("rotavis")).isEqualTo(5);
    }

    @Test
    void keepsRemovalWhenLowerTicketArrivesLater() {
        store.apply(ticket(5, NO_ROTAVIS));

        store.apply(ticket(3, ROTAVIS));

        assertThat(store.snapshot().service("rotavis")).isEmpty();
        assertThat(store.snapshot().ticketNumber()).isEqualTo(5);
    }

    @Test
    void hidesServersAndRoutesUntilTheirServiceIsKnown() {
        store.apply(ticket(
                2,
                ObjectState.present(server("rotavis-1", "rotavis")),
                ObjectState.present(route("rotavis/week", "rotavis", "GET", "/week"))));

        assertThat(store.snapshot().server("rotavis-1")).isEmpty();
        assertThat(store.snapshot().servers("rotavis")).isEmpty();
        assertThat(store.snapshot().isPathKnown("/week")).isFalse();

        store.apply(ticket(1, ROTAVIS));

        assertThat(store.snapshot().server("rotavis-1")).isPresent();
        assertThat(store.snapshot().servers("rotavis")).hasSize(1);
        assertThat(store.snapshot().route("GET", "/week")).isPresent();
    }

    @Test
    void movesServerFromOneServiceToAnother() {
        store.apply(ticket(1, ROTAVIS, ObjectState.present(new ServiceSpec("vagtbank", 9, 0.8))));
        store.apply(ticket(2, ObjectState.present(server("s-1", "rotavis"))));

        store.apply(ticket(3, ObjectState.present(server("s-1", "vagtbank"))));

        assertThat(store.snapshot().servers("rotavis")).isEmpty();
        assertThat(store.snapshot().servers("vagtbank")).containsExactly(server("s-1", "vagtbank"));
    }

    @Test
    void reportsTwoContentsUnderOneNumberAndKeepsTheSameOneInAnyOrder() {
        Ticket present = ticket(4, ROTAVIS);
        Ticket removed = ticket(4, NO_ROTAVIS);
        ConfigurationStore other = new ConfigurationStore();

        store.apply(present);
        other.apply(removed);

        assertThat(store.apply(removed).conflict()).isTrue();
        assertThat(other.apply(present).conflict()).isTrue();
        assertThat(store.conflicts()).containsExactly(4L);
        assertThat(store.snapshot().digest()).isEqualTo(other.snapshot().digest());
        assertThat(store.snapshot().services()).isEqualTo(other.snapshot().services());
    }

    @Test
    void reportsTwoContentsUnderOneNumberThatTouchDifferentObjects() {
        store.apply(ticket(4, ROTAVIS));

        ApplyResult result = store.apply(ticket(4, ObjectState.present(server("s-1", "rotavis"))));

        assertThat(result.conflict()).isTrue();
        assertThat(result.changed()).hasSize(1);
    }

    @Test
    void doesNotChangeEarlierSnapshots() {
        store.apply(ticket(1, ROTAVIS));
        Configuration before = store.snapshot();
        long digest = before.digest();

        store.apply(ticket(2, NO_ROTAVIS));

        assertThat(before.services()).hasSize(1);
        assertThat(before.digest()).isEqualTo(digest);
        assertThat(store.snapshot().digest()).isNotEqualTo(digest);
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /week, exact",
        "GET, /week/31, prefix",
        "GET, /week/31/late, prefix",
        "GET, /week/2026/31, longer",
        "POST, /week, root",
        "POST, /week/2026/31, root",
        "GET, /weeks, ''",
        "PUT, /week, ''",
        "GET, /, ''"
    })
    void prefersExactPathToLongerPrefixToShorterPrefix(String method, String path, String expected) {
        store.apply(ticket(
                1,
                ROTAVIS,
                ObjectState.present(route("exact", "rotavis", "GET", "/week")),
                ObjectState.present(route("prefix", "rotavis", "GET", "/week/*")),
                ObjectState.present(route("longer", "rotavis", "GET", "/week/2026/*")),
                ObjectState.present(route("root", "rotavis", "POST", "/*"))));

        String found = store.snapshot().route(method, path).map(RouteSpec::name).orElse("");

        assertThat(found).isEqualTo(expected);
        assertThat(store.snapshot().isPathKnown(path)).isTrue();
    }

    @Test
    void matchesTheRouteOfTheHigherTicketWhenTwoHaveTheSamePath() {
        store.apply(ticket(9, ROTAVIS, ObjectState.present(route("z", "rotavis", "GET", "/week"))));

        store.apply(ticket(8, ObjectState.present(route("a", "rotavis", "GET", "/week"))));

        assertThat(store.snapshot().route("GET", "/week").map(RouteSpec::name)).hasValue("z");
        assertThat(store.snapshot().routes().stream().map(RouteSpec::name).toList())
                .isEqualTo(List.of("a", "z"));
    }
}
