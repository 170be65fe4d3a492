package io.coppershelf;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.coppershelf.settings.Settings;
import io.coppershelf.settings.SettingsFile;
import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ConfigurationReview;
import io.coppershelf.ticket.ConfigurationStore;
import io.coppershelf.ticket.TicketDocument;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ExamplesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @ParameterizedTest
    @ValueSource(strings = {"association", "syrmatourgia"})
    void ticketsAreValidAndTheConfigurationHasNoProblemsAfterEachChange(String customer) throws IOException {
        ConfigurationStore store = new ConfigurationStore();
        List<Path> files = Stream.concat(files(customer, "tickets").stream(), files(customer, "changes").stream())
                .toList();

        for (Path file : files) {
            store.apply(TicketDocument.parse(Files.readString(file)));

            assertWithMessage(file.toString())
                    .that(ConfigurationReview.of(store.snapshot()))
                    .isEmpty();
        }
        assertThat(store.snapshot().ticketNumber()).isEqualTo(files.size());
    }

    @ParameterizedTest
    @CsvSource({
        "association, rotavis, 10, 6, 0.8",
        "association, vagtbank, 14, 6, 0.8",
        "association, timeloen, 8, 6, 0.8",
        "syrmatourgia, stockbook, 10, 2, 0.2",
        "syrmatourgia, millrelease, 13, 2, 0.2",
        "syrmatourgia, docdesk, 8, 2, 0.2"
    })
    void servicesHaveTheSizesOfTheirCustomer(String customer, String service, int servers, int slots, double weight)
            throws IOException {
        ConfigurationStore store = new ConfigurationStore();
        for (Path file : files(customer, "tickets")) {
            store.apply(TicketDocument.parse(Files.readString(file)));
        }
        Configuration configuration = store.snapshot();

        assertThat(configuration.service(service).orElseThrow().detectionWeight())
                .isEqualTo(weight);
        assertThat(configuration.servers(service)).hasSize(servers);
        configuration.servers(service).forEach(server -> {
            assertThat(server.slots()).isEqualTo(slots);
            assertThat(server.connections()).isEqualTo(330);
        });
    }

    @ParameterizedTest
    @ValueSource(strings = {"association", "syrmatourgia"})
    void settingsAreValidAndMatchTheVmList(String customer) throws IOException {
        JsonNode vms = JsonMapper.builder()
                .build()
                .readTree(EXAMPLES.resolve(customer).resolve("vms.json").toFile())
                .path("vms");

        List<Settings> allSettings =
                files(customer, "settings").stream().map(SettingsFile::read).toList();

        assertThat(allSettings).hasSize(vms.size());
        for (JsonNode vm : vms) {
            assertThat(allSettings.stream()
                            .filter(settings -> belongsTo(settings, vm))
                            .count())
                    .isEqualTo(1);
        }
    }

    private static boolean belongsTo(Settings settings, JsonNode vm) {
        return settings.vm().equals(vm.path("id").asText())
                && settings.dataCentre().equals(vm.path("dataCentre").asText())
                && settings.host().equals(vm.path("host").asText())
                && settings.peerPort() == vm.path("peerPort").asInt()
                && settings.operatorPort() == vm.path("operatorPort").asInt();
    }

    private static List<Path> files(String customer, String directory) throws IOException {
        try (Stream<Path> files = Files.list(EXAMPLES.resolve(customer).resolve(directory))) {
            return files.sorted().toList();
        }
    }
}
