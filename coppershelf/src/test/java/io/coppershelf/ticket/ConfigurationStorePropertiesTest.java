package io.coppershelf.ticket;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class ConfigurationStorePropertiesTest {
    private static final String SEED = "20261203";

    @Property(tries = 300, seed = SEED)
    void orderAndRepetitionOfTicketsDoNotChangeTheConfiguration(
            @ForAll("tickets") List<Ticket> tickets, @ForAll int shuffle) {
        List<Ticket> shuffledAndRepeated = new ArrayList<>(tickets);
        shuffledAndRepeated.addAll(tickets);
        Collections.shuffle(shuffledAndRepeated, new Random(shuffle));

        ConfigurationStore first = applied(tickets);
        ConfigurationStore second = applied(shuffledAndRepeated);

        assertThat(versions(second)).isEqualTo(versions(first));
        assertThat(second.snapshot().digest()).isEqualTo(first.snapshot().digest());
        assertThat(second.snapshot().ticketNumber()).isEqualTo(first.snapshot().ticketNumber());
        assertThat(second.snapshot().routes()).isEqualTo(first.snapshot().routes());
        assertThat(second.conflicts()).isEqualTo(first.conflicts());
    }

    @Property(tries = 300, seed = SEED)
    void objectsNeverRevertToAnOlderVersion(@ForAll("tickets") List<Ticket> tickets) {
        ConfigurationStore store = new ConfigurationStore();
        for (Ticket ticket : tickets) {
            Map<ObjectKey, ObjectVersion> before = versions(store);
            store.apply(ticket);
            Map<ObjectKey, ObjectVersion> after = versions(store);
            before.forEach((key, version) -> {
                ObjectVersion now = after.get(key);
                assertThat(version.supersedes(now.ticket(), now.ticketDigest())).isFalse();
            });
        }
    }

    @Property(tries = 300, seed = SEED)
    void twoStoresAgreeAfterExchangingVersions(
            @ForAll("tickets") List<Ticket> some, @ForAll("tickets") List<Ticket> others) {
        ConfigurationStore first = applied(some);
        ConfigurationStore second = applied(others);
        List<ObjectVersion> versionsOfFirst = List.copyOf(versions(first).values());

        versions(second).values().forEach(first::apply);
        versionsOfFirst.forEach(second::apply);

        assertThat(first.bucketDigests()).isEqualTo(second.bucketDigests());
        assertThat(versions(first)).isEqualTo(versions(second));
    }

    @Provide
    Arbitrary<List<Ticket>> tickets() {
        Arbitrary<ObjectState> object = Arbitraries.of(
                ObjectState.removed(new ObjectKey(ObjectType.SERVICE, "a")),
                ObjectState.present(new ServiceSpec("a", 1, 0.5)),
                ObjectState.present(new ServiceSpec("a", 2, 0.5)),
                ObjectState.present(new ServerSpec("a-1", "a", "viborg", "127.0.0.1", 1, 6, 330, false)),
                ObjectState.present(new ServerSpec("a-1", "b", "viborg", "127.0.0.1", 1, 6, 330, true)),
                ObjectState.removed(new ObjectKey(ObjectType.SERVER, "a-1")),
                ObjectState.present(TestTickets.route("a/x", "a", "GET", "/x")),
                ObjectState.present(TestTickets.route("a/x", "a", "GET", "/y")),
                ObjectState.present(TestTickets.route("a/y", "a", "GET", "/y")),
                ObjectState.removed(new ObjectKey(ObjectType.ROUTE, "a/x")));
        Arbitrary<List<ObjectState>> objects =
                object.list().ofMinSize(1).ofMaxSize(4).uniqueElements(ObjectState::key);
        return Combinators.combine(Arbitraries.longs().between(1, 8), objects)
                .as(Ticket::new)
                .list()
                .ofMaxSize(10);
    }

    private static ConfigurationStore applied(List<Ticket> tickets) {
        ConfigurationStore store = new ConfigurationStore();
        tickets.forEach(store::apply);
        return store;
    }

    private static Map<ObjectKey, ObjectVersion> versions(ConfigurationStore store) {
        Map<ObjectKey, ObjectVersion> versions = new TreeMap<>();
        for (int bucket = 0; bucket < ConfigurationStore.BUCKETS; bucket++) {
            store.versions(bucket)
                    .forEach(version -> versions.put(version.state().key(), version));
        }
        return versions;
    }
}
