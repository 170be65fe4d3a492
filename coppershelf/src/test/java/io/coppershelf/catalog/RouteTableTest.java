package io.coppershelf.catalog;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RouteTableTest {
    private final RouteTable table =
            RouteTable.of(List.of(route("all", "/"), route("short", "/a/"), route("long", "/a/b/")));

    @Test
    void longestPrefixWins() {
        assertThat(name("h.example", "/a/b/c")).isEqualTo("long");
        assertThat(name("h.example", "/a/c")).isEqualTo("short");
        assertThat(name("h.example", "/c")).isEqualTo("all");
    }

    @Test
    void prefixHasToMatchWholeSegments() {
        assertThat(name("h.example", "/ab")).isEqualTo("all");
        assertThat(name("h.example", "/a")).isEqualTo("all");
    }

    @Test
    void queryIsNoPartOfThePath() {
        assertThat(name("h.example", "/c?x=/a/b/")).isEqualTo("all");
    }

    @Test
    void hostIsComparedWithoutCaseAndPort() {
        assertThat(name("H.Example:80", "/a/")).isEqualTo("short");
    }

    @Test
    void unknownHostHasNoRoute() {
        assertThat(table.match("other.example", "/a/")).isEmpty();
    }

    private String name(String host, String path) {
        return table.match(host, path).orElseThrow().name();
    }

    private static Route route(String name, String prefix) {
        return new Route(
                name,
                "h.example",
                prefix,
                RequestKind.REPEATABLE,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                0,
                1,
                List.of(new WeightedService("s", 1)));
    }
}
