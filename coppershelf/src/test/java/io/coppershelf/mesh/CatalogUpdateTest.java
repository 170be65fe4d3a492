package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.CatalogChange;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.testing.Catalogs;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Scenario: a VM sends what it has read to the others; the list at which its reading began has the server a. */
final class CatalogUpdateTest {
    private final BackendServer server = Catalogs.server("a", "here");
    private final ServerList before = ServerList.of(Catalogs.revision(1), List.of(server));

    @Test
    void reportThatChangesNothingForRoutingIsLeftOut() {
        assertThat(update(Set.of()).changed()).isEmpty();
    }

    /**
     * Guards against a server that a VM never uses again: the VM has received its removal from another one, and the
     * update leaves out that it has registered again since.
     */
    @Test
    void serverThatWasRemovedAndRegisteredAgainMeanwhileIsContained() {
        MeshMessage.CatalogUpdate update = update(Set.of("a"));
        ServerList withoutServer = ServerList.of(Catalogs.revision(2), List.of());
        assertThat(update.change().applyTo(withoutServer).server("a")).hasValue(server);
    }

    private MeshMessage.CatalogUpdate update(Set<String> removed) {
        return MeshMessage.CatalogUpdate.of(
                before,
                new CatalogChange(
                        Catalogs.revision(1), Catalogs.revision(3), Optional.empty(), List.of(server), removed),
                1);
    }
}
