package io.coppershelf.catalog;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.testing.Catalogs;
import org.junit.jupiter.api.Test;

final class ServerReportsTest {
    private final ServerReports reports = new ServerReports();
    private final BackendServer ready = Catalogs.server("a", "here");

    @Test
    void lastReportOfAServerCounts() {
        reports.add(ready);
        reports.add(ready.withoutAccepting());
        assertThat(reports.changed()).containsExactly(ready.withoutAccepting());
        assertThat(reports.removed()).isEmpty();
    }

    /** Guards against a server that is used although it drains: an older report of it came later. */
    @Test
    void incarnationThatDrainsDoesSoWhateverFollows() {
        reports.add(ready.withoutAccepting());
        reports.remove("a");
        reports.add(ready);
        assertThat(reports.changed()).containsExactly(ready.withoutAccepting());
    }

    @Test
    void nextIncarnationDoesNotDrain() {
        BackendServer restarted = new BackendServer(
                ready.id(), 2, ready.service(), ready.address(), ready.dataCentre(), ready.slots(), true, 0);
        reports.add(ready.withoutAccepting());
        reports.add(restarted);
        assertThat(reports.changed()).containsExactly(restarted);
    }

    @Test
    void removedServerIsNotAmongTheChanged() {
        reports.add(ready);
        reports.remove("a");
        assertThat(reports.changed()).isEmpty();
        assertThat(reports.removed()).containsExactly("a");
    }
}
