package io.coppershelf.operator;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.settings.Settings;
import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ConfigurationStore;
import io.coppershelf.ticket.TicketDocument;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OperatorComponentTest {
    private static final String TICKET = """
            {"ticket": 4, "services": {"rotavis": {"floor": 2, "detectionWeight": 0.8}, "vagtbank": {"floor": 0, "detectionWeight": 0.8}},
             "servers": {"rotavis-1": {"service": "rotavis", "dataCentre": "viborg", "host": "127.0.0.1",
                                       "port": 7001, "slots": 6, "connections": 330}}}""";

    private final HttpClient client = HttpClient.newHttpClient();
    private final ComponentRegistry registry = new ComponentRegistry();
    private final OperatorComponent component = new OperatorComponent();

    @BeforeEach
    void startComponent() {
        registry.register(Settings.NAME, settings(0));
        component.register(registry);
        ConfigurationStore store = new ConfigurationStore();
        store.apply(TicketDocument.parse(TICKET));
        registry.register(Configuration.Source.NAME, new FixedConfiguration(store.snapshot()));
        registry.register(FleetView.Source.NAME, new FixedFleet());
        component.start(registry);
    }

    @AfterEach
    void stopComponent() {
        component.stop(Duration.ofSeconds(1));
    }

    @Test
    void showsTicketServicesOwnersFleetAndStatusOfComponents() throws Exception {
        registry.require(OperatorRegistry.NAME).addStatus(status -> status.put("extra", 1));
        registry.require(OperatorRegistry.NAME).addStatus(status -> {
            throw new IllegalStateException("broken part");
        });

        JsonNode status = JsonMapper.builder().build().readTree(get("/status").body());

        assertThat(status.at("/vm").asText()).isEqualTo("herning-1");
        assertThat(status.at("/ticket/number").asInt()).isEqualTo(4);
        assertThat(status.at("/services/0/servers/0/server").asText()).isEqualTo("rotavis-1");
        assertThat(status.at("/services/0/owners/0/at").asText()).isEqualTo("127.0.0.2:8082");
        assertThat(status.at("/fleet/0/vm").asText()).isEqualTo("viborg-1");
        assertThat(status.at("/alarms/0").asText()).contains("number of servers, 1, but is 2");
        assertThat(status.at("/extra").asInt()).isEqualTo(1);
    }

    @Test
    void showsOnlyTheRequestedService() throws Exception {
        registry.require(OperatorRegistry.NAME).addStatus(status -> {
            status.putArray("groups").addObject().put("service", "rotavis");
            status.withArray("groups").addObject().put("service", "vagtbank");
        });

        JsonNode status = JsonMapper.builder()
                .build()
                .readTree(get("/status?service=vagtbank").body());

        assertThat(status.path("services")).hasSize(1);
        assertThat(status.path("groups")).hasSize(1);
        assertThat(status.at("/groups/0/service").asText()).isEqualTo("vagtbank");
    }

    @Test
    void isReadyOnlyWhileAllConditionsHold() throws Exception {
        AtomicBoolean condition = new AtomicBoolean();
        registry.require(OperatorRegistry.NAME).addReadiness("tickets", condition::get);

        assertThat(get("/ready").statusCode()).isEqualTo(503);
        assertThat(get("/ready").body()).contains("tickets");
        condition.set(true);
        assertThat(get("/ready").statusCode()).isEqualTo(200);
    }

    @Test
    void returnsEventsAfterAStamp() throws Exception {
        Timeline timeline = registry.require(Timeline.NAME);
        timeline.record(Timeline.Event.of("ticket", "Ticket 4 in force.").ofTicket(4));
        TimelineDocument all = timeline("/timeline");
        timeline.record(Timeline.Event.of("peer", "later"));

        TimelineDocument rest = timeline("/timeline?after=" + TimelineDocument.format(all.stamp()));

        assertThat(all.events()).hasSize(2);
        assertThat(rest.events().stream().map(event -> event.event().text()).toList())
                .containsExactly("later");
    }

    @ParameterizedTest
    @CsvSource({
        "GET,  /health,            200, live",
        "GET,  /ticket,            200, digest",
        "GET,  /fleet,             200, viborg-1",
        "GET,  /metrics,           200, jvm_heap_used_bytes",
        "GET,  /timeline?after=zz, 400, hexadecimal",
        "GET,  /nothing,           404, no such address",
        "POST, /status,            405, only GET"
    })
    void answersEachEndpoint(String method, String path, int status, String text) throws Exception {
        HttpResponse<String> answer = send(method, path);

        assertThat(answer.statusCode()).isEqualTo(status);
        assertThat(answer.body()).contains(text);
    }

    @Test
    void namesThePortThatCannotBeBound() {
        ComponentRegistry other = new ComponentRegistry();
        other.register(Settings.NAME, settings(component.port()));

        CoppershelfException failure =
                assertThrows(CoppershelfException.class, () -> new OperatorComponent().register(other));

        assertThat(failure.kind()).isEqualTo(ErrorKind.INVALID_SETTINGS);
        assertThat(failure).hasMessageThat().contains(":" + component.port());
    }

    private TimelineDocument timeline(String path) throws Exception {
        return TimelineDocument.fromJson(
                JsonMapper.builder().build().readTree(get(path).body()));
    }

    private HttpResponse<String> get(String path) throws Exception {
        return send("GET", path);
    }

    private HttpResponse<String> send(String method, String path) throws IOException, InterruptedException {
        URI address = URI.create("http://127.0.0.1:" + component.port() + path);
        HttpRequest request = HttpRequest.newBuilder(address)
                .method(method, BodyPublishers.noBody())
                .build();
        return client.send(request, BodyHandlers.ofString());
    }

    private static Settings settings(int operatorPort) {
        return new Settings(
                "herning-1",
                "herning",
                "127.0.0.1",
                0,
                0,
                operatorPort,
                URI.create("http://127.0.0.1:1"),
                List.of(),
                5,
                2,
                16_384);
    }

    private record FixedConfiguration(Configuration current) implements Configuration.Source {
        @Override
        public void onChange(Runnable listener) {}
    }

    private static final class FixedFleet implements FleetView.Source, FleetView {
        private final Vm vm = new Vm("viborg-1", 1, "viborg", "127.0.0.2", 8081, 8082, false);

        @Override
        public FleetView current() {
            return this;
        }

        @Override
        public void onChange(Runnable listener) {}

        @Override
        public Vm self() {
            return vm;
        }

        @Override
        public List<Vm> vms() {
            return List.of(vm);
        }

        @Override
        public Optional<Vm> vm(String id) {
            return Optional.of(vm);
        }

        @Override
        public boolean isReachable(String id) {
            return true;
        }

        @Override
        public List<Vm> ranked(String key, String preferredDataCentre, int limit) {
            return List.of(vm);
        }
    }
}
