package io.coppershelf.bench.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.coppershelf.component.TimeSource;
import io.coppershelf.membership.Vm;
import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.platform.Platform.PublishedTickets;
import io.coppershelf.platform.internal.HttpPlatform;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpPlatformTest {
    private static final Duration LONG_WAIT = Duration.ofSeconds(30);

    private PlatformStandIn standIn;
    private HttpPlatform platform;

    @BeforeEach
    void start() throws IOException {
        standIn = PlatformStandIn.start("127.0.0.1", 0);
        platform = new HttpPlatform(standIn.address(), TimeSource.system(), new Random(1));
    }

    @AfterEach
    void stop() {
        platform.close();
        standIn.close();
    }

    @Test
    void readsTicketsFromAPosition() {
        standIn.publishTicket("one");
        standIn.publishTicket("two");

        assertThat(platform.tickets(0, Duration.ZERO).join()).isEqualTo(new PublishedTickets(2, List.of("one", "two")));
        assertThat(platform.tickets(1, Duration.ZERO).join()).isEqualTo(new PublishedTickets(2, List.of("two")));
        assertThat(platform.tickets(2, Duration.ZERO).join()).isEqualTo(new PublishedTickets(2, List.of()));
        assertThat(standIn.calls()).isEqualTo(3);
    }

    @Test
    void watchCountsAsOneCallAndCompletesOnTheNextTicket() {
        CompletableFuture<PublishedTickets> watch = platform.tickets(0, LONG_WAIT);
        while (standIn.waiting() == 0) {
            Thread.onSpinWait();
        }

        standIn.publishTicket("one");

        assertThat(watch.join().documents()).containsExactly("one");
        assertThat(standIn.calls()).isEqualTo(1);
    }

    @Test
    void readsVmList() {
        Vm vm = new Vm("herning-1", 5, "herning", "127.0.0.1", 8081, 8082, true);

        standIn.publishVms(List.of(vm));

        assertThat(platform.vms(0, LONG_WAIT).join().vms()).containsExactly(vm);
        assertThat(platform.vms(1, Duration.ZERO).join().revision()).isEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({
        "DOWN, PLATFORM_UNREACHABLE",
        "TRUNCATED, PLATFORM_UNREACHABLE",
        "GARBAGE, PLATFORM_GARBLED",
        "OVERSIZED, PLATFORM_GARBLED"
    })
    void reportsEachFailureByKindAndReadsAgainAfterwards(PlatformFault fault, ErrorKind expected) {
        standIn.publishTicket("one");
        standIn.setFault(fault);

        CompletionException failure = assertThrows(
                CompletionException.class, () -> platform.tickets(0, LONG_WAIT).join());

        assertThat(((CoppershelfException) failure.getCause()).kind()).isEqualTo(expected);
        assertThat(platform.calls().labelValues("tickets", expected.code()).get())
                .isEqualTo(1);
        standIn.setFault(PlatformFault.NONE);
        assertThat(platform.tickets(0, LONG_WAIT).join().documents()).containsExactly("one");
    }

    @ParameterizedTest
    @CsvSource({"STALE, 2", "ROLLED_BACK, 1"})
    void readsOutdatedTicketsFromAnOutdatedPlatform(PlatformFault fault, long position) {
        standIn.publishTicket("one");
        standIn.publishTicket("two");
        standIn.setFault(fault);
        standIn.publishTicket("three");

        assertThat(platform.tickets(0, Duration.ZERO).join().position()).isEqualTo(position);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            {"id": "a"}
            {"id": "A b", "dataCentre": "d", "host": "127.0.0.1", "peerPort": 1, "operatorPort": 2}
            {"id": "a", "dataCentre": "d", "host": "farm", "peerPort": 1, "operatorPort": 2}
            {"id": "a", "dataCentre": "d", "host": "127.0.0.1", "peerPort": 0, "operatorPort": 2}
            {"id": "a", "dataCentre": "d", "host": "127.0.0.1", "peerPort": 1.5, "operatorPort": 2}
            7
            """)
    void rejectsVmListWithAMalformedVm(String vm) throws IOException {
        standIn.publishVms(
                com.fasterxml.jackson.databind.json.JsonMapper.builder().build().readTree("[" + vm + "]"));

        CompletionException failure = assertThrows(
                CompletionException.class, () -> platform.vms(0, LONG_WAIT).join());

        assertThat(((CoppershelfException) failure.getCause()).kind()).isEqualTo(ErrorKind.PLATFORM_GARBLED);
    }

    @Test
    void splitsTicketsIntoAnswersOfOneMegabyte() {
        String large = "x".repeat(700_000);
        standIn.publishTicket(large);
        standIn.publishTicket(large);

        assertThat(platform.tickets(0, LONG_WAIT).join().documents()).hasSize(1);
        assertThat(platform.tickets(1, LONG_WAIT).join().documents()).hasSize(1);
    }
}
