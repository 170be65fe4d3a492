package io.coppershelf.cli.internal;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

final class RequestTraceTest {
    private final List<LogLine> lines = Stream.of(
                    "{\"at\":1000,\"vm\":\"vm-1\",\"event\":\"server-suspected\",\"server\":\"i-1@5\",\"sickness\":0.8}",
                    "{\"at\":1100,\"vm\":\"vm-2\",\"event\":\"server-suspected\",\"server\":\"i-1@5\"}",
                    "{\"at\":1200,\"vm\":\"vm-1\",\"event\":\"server-suspected\",\"server\":\"i-9@5\"}",
                    "{\"at\":1300,\"vm\":\"vm-1\",\"event\":\"attempt-ended\",\"request\":\"r\",\"server\":\"i-1\","
                            + "\"end\":\"LOST\",\"detail\":\"closed by the server\"}",
                    "   3.5 vm-1 {\"at\":1301,\"vm\":\"vm-1\",\"event\":\"request-ended\",\"request\":\"r\","
                            + "\"outcome\":\"server-lost\",\"reason\":\"the answer was lost\"}",
                    "{\"at\":1302,\"vm\":\"vm-1\",\"event\":\"request-ended\",\"request\":\"q\"}",
                    "not a line {",
                    "nothing")
            .flatMap(text -> LogLine.parse(text).stream())
            .toList();

    @Test
    void traceContainsTheRequestAndTheStateOfItsServersOnItsVm() {
        assertThat(RequestTrace.of("r", lines).stream().map(LogLine::atMillis).toList())
                .containsExactly(1000L, 1300L, 1301L)
                .inOrder();
    }

    @Test
    void causeNamesTheOutcomeAndTheLastAttempt() {
        assertThat(RequestTrace.cause("r", RequestTrace.of("r", lines)))
                .isEqualTo(
                        "cause: server-lost, the answer was lost; last attempt at i-1 ended LOST (closed by the server)");
    }

    /** Guards against a 429 of which an operator can't tell whether the cap or an old share of it refused. */
    @Test
    void causeOfARefusalByAUsageCapNamesTheCapTheTokensAndTheAgeOfTheShare() {
        String line = "{\"at\":1,\"vm\":\"vm-1\",\"event\":\"request-refused\",\"request\":\"r\",\"outcome\":"
                + "\"over-usage-cap\",\"tenant\":\"t1\",\"capPerSecond\":153.0,\"capBurst\":20.0,\"tokens\":2,"
                + "\"reason\":\"over the usage cap\",\"retryAfterMs\":250%s}";
        String expected =
                "cause: over-usage-cap, over the usage cap of tenant t1: cap 153.0/s, burst 20.0; tokens held 2;"
                        + " age of the share %s; retry after 250 ms";
        assertThat(causeOf(line.formatted(",\"shareAgeMs\":40"))).isEqualTo(expected.formatted("40 ms"));
        assertThat(causeOf(line.formatted(""))).isEqualTo(expected.formatted("unknown, no grant or denial yet"));
    }

    private static String causeOf(String line) {
        return RequestTrace.cause("r", LogLine.parse(line).stream().toList());
    }

    @Test
    void unknownRequestHasNoTrace() {
        assertThat(RequestTrace.of("other", lines)).isEmpty();
    }

    @Test
    void requestWithoutAnEndIsReported() {
        List<LogLine> withoutEnd = lines.subList(0, 4);
        assertThat(RequestTrace.cause("r", RequestTrace.of("r", withoutEnd)))
                .contains("no line tells how the request ended");
    }
}
