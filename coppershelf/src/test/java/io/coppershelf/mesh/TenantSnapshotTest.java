package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.coppershelf.catalog.CatalogChange;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.Tenant;
import io.coppershelf.catalog.TenantTable;
import io.coppershelf.catalog.UsageCap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

final class TenantSnapshotTest {
    private static final Tenant CAPPED = new Tenant("capped", Optional.of(0), Optional.of(new UsageCap(153.5, 20)));
    private static final Tenant PLAIN = new Tenant("plain", Optional.empty(), Optional.empty());
    private static final Tenant WITHDRAWN = new Tenant("withdrawn", Optional.of(2), Optional.empty());

    /** Guards against a VM that serves other tenants, or other public routes, than the one it started from. */
    @Test
    void tenantsKeysCapsAndPublicRoutesAreReadBack() throws IOException {
        TenantTable written = TenantTable.of(Map.of(
                CAPPED, List.of("k1", "k2", "both"), PLAIN, List.of("x".repeat(4096), "both"), WITHDRAWN, List.of()));
        FleetConfiguration read = read(SnapshotCodec.encode(snapshot(written)));
        TenantTable tenants = read.tenants().orElseThrow();
        assertThat(tenants.keysByTenant())
                .containsExactly(CAPPED, Set.of("k1", "k2"), PLAIN, Set.of("x".repeat(4096)), WITHDRAWN, Set.of());
        assertThat(read.routes().all().stream().allMatch(route -> route.isPublic()))
                .isTrue();
    }

    /** Guards against an empty table, which admits nobody, that is read back as none, which admits everybody. */
    @Test
    void tableWithoutTenantsIsReadBackAsATable() throws IOException {
        assertThat(read(SnapshotCodec.encode(snapshot(TenantTable.EMPTY))).tenants())
                .isPresent();
    }

    /** Guards against an earlier build that can't read the snapshot of a VM that knows tenants. */
    @Test
    void bytesBeforeTheTenantsAreThoseOfASnapshotWithoutThem() {
        FleetConfiguration with = Snapshots.withTenant(7, "k");
        FleetConfiguration without =
                new FleetConfiguration(7, with.routes(), with.connectionCaps(), with.limits(), Optional.empty());
        byte[] expected = SnapshotCodec.encode(Optional.of(Snapshots.of(without)));
        byte[] actual = SnapshotCodec.encode(Optional.of(Snapshots.of(with)));
        assertThat(Arrays.copyOf(actual, expected.length)).isEqualTo(expected);
    }

    /** Guards against snapshots of a later build that this one can't read. */
    @Test
    void unknownFieldsAreSkipped() throws IOException {
        FleetConfiguration without = Snapshots.configuration(7);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(SnapshotCodec.encode(Optional.of(Snapshots.of(without))));
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packMapHeader(2);
            packer.packString("later").packArrayHeader(2).packString("x").packDouble(1);
            packer.packString("tenants").packArrayHeader(1);
            packer.packString("plain").packNil().packNil().packArrayHeader(1).packString("k");
            packer.packString("more").packInt(1);
            bytes.write(packer.toByteArray());
        }
        assertThat(read(bytes.toByteArray()).tenants().orElseThrow().byKey("k")).hasValue(PLAIN);
    }

    /** Guards against a VM without keys to check because it started from a VM of a build without tenants. */
    @Test
    void snapshotWithoutTenantsIsRefusedWhereTheDeploymentHasTenants() {
        Snapshot without = Snapshots.of(7);
        Snapshot with = Snapshots.of(Snapshots.withTenant(7, "k"));
        assertThat(fetch(without, true)).containsExactly("the snapshot has no tenants");
        assertThat(fetch(with, true)).containsExactly(with);
        assertThat(fetch(without, false)).containsExactly(without);
    }

    /** Guards against a snapshot that was cut off right before its tenants. */
    @Test
    void truncatedTenantsAreRefused() throws IOException {
        FleetConfiguration with = Snapshots.withTenant(7, "k");
        byte[] complete = SnapshotCodec.encode(Optional.of(Snapshots.of(with)));
        FleetConfiguration without =
                new FleetConfiguration(7, with.routes(), with.connectionCaps(), with.limits(), Optional.empty());
        int start = SnapshotCodec.encode(Optional.of(Snapshots.of(without))).length;
        assertThat(read(Arrays.copyOf(complete, start)).tenants()).isEmpty();
        for (int length = start + 1; length < complete.length; length++) {
            byte[] truncated = Arrays.copyOf(complete, length);
            assertThrows(IOException.class, () -> SnapshotCodec.decode(truncated));
        }
    }

    private static List<Object> fetch(Snapshot snapshot, boolean needsTenants) {
        List<Object> results = new ArrayList<>();
        new CompleteSnapshots((onRead, onFailure) -> onRead.accept(snapshot), needsTenants)
                .fetch(results::add, results::add);
        return results;
    }

    private static Optional<Snapshot> snapshot(TenantTable tenants) {
        return Optional.of(Snapshots.of(Snapshots.withTenants(7, tenants)));
    }

    private static FleetConfiguration read(byte[] bytes) throws IOException {
        return SnapshotCodec.decode(bytes)
                .map(Snapshot::content)
                .flatMap(CatalogChange::configuration)
                .orElseThrow();
    }
}
