package io.coppershelf.mesh;

import io.coppershelf.catalog.CallerLimits;
import io.coppershelf.catalog.CatalogChange;
import io.coppershelf.catalog.CatalogRevision;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.catalog.Route;
import io.coppershelf.catalog.RouteTable;
import io.coppershelf.catalog.WeightedService;
import io.coppershelf.peer.MessageFields;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes snapshots. */
final class SnapshotCodec {
    private static final int VERSION = 2;

    private SnapshotCodec() {}

    /** Encodes the snapshot, or that nothing is in force. */
    static byte[] encode(Optional<Snapshot> snapshot) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(VERSION);
            MessageFields.writeOptional(packer, snapshot, SnapshotCodec::writeSnapshot);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes a snapshot, empty if nothing is in force on the sender.
     *
     * @throws IOException if the bytes are not a snapshot of this version
     */
    static Optional<Snapshot> decode(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int version = unpacker.unpackInt();
            if (version != VERSION) {
                throw new IOException("expected snapshot version " + VERSION + " but got " + version);
            }
            return MessageFields.readOptional(unpacker, SnapshotCodec::readSnapshot);
        } catch (RuntimeException e) {
            throw new IOException("not a snapshot", e);
        }
    }

    private static void writeSnapshot(MessagePacker packer, Snapshot snapshot) throws IOException {
        packer.packLong(snapshot.announcedConfiguration());
        MeshCodec.writeRevision(packer, snapshot.content().revision());
        MessageFields.writeList(packer, snapshot.content().changed(), MeshCodec::writeServer);
        MessageFields.writeOptional(packer, snapshot.content().configuration(), SnapshotCodec::writeConfiguration);
        MessageFields.writeList(packer, snapshot.leaving(), MessagePacker::packString);
        if (snapshot.content()
                .configuration()
                .flatMap(FleetConfiguration::tenants)
                .isPresent()) {
            TenantFields.write(packer, snapshot.content().configuration().get());
        }
    }

    private static Snapshot readSnapshot(MessageUnpacker unpacker) throws IOException {
        long announced = unpacker.unpackLong();
        CatalogRevision revision = MeshCodec.readRevision(unpacker);
        var servers = MessageFields.readList(unpacker, MeshCodec::readServer);
        Optional<FleetConfiguration> configuration =
                MessageFields.readOptional(unpacker, SnapshotCodec::readConfiguration);
        Set<String> leaving = Set.copyOf(MessageFields.readList(unpacker, MessageUnpacker::unpackString));
        if (configuration.isPresent() && unpacker.hasNext()) {
            configuration = Optional.of(TenantFields.read(unpacker, configuration.get()));
        }
        return new Snapshot(
                announced,
                new CatalogChange(CatalogRevision.NONE, revision, configuration, servers, Set.of()),
                leaving);
    }

    private static void writeConfiguration(MessagePacker packer, FleetConfiguration configuration) throws IOException {
        packer.packLong(configuration.version());
        MessageFields.writeList(packer, configuration.routes().all(), SnapshotCodec::writeRoute);
        packer.packMapHeader(configuration.connectionCaps().size());
        for (Map.Entry<String, Integer> cap : configuration.connectionCaps().entrySet()) {
            packer.packString(cap.getKey());
            packer.packInt(cap.getValue());
        }
        CallerLimits limits = configuration.limits();
        packer.packInt(limits.headBytes());
        packer.packLong(limits.bodyBytes());
        writeDuration(packer, limits.headTimeout());
        writeDuration(packer, limits.idleTimeout());
    }

    private static FleetConfiguration readConfiguration(MessageUnpacker unpacker) throws IOException {
        long version = unpacker.unpackLong();
        List<Route> routes = MessageFields.readList(unpacker, SnapshotCodec::readRoute);
        Map<String, Integer> caps = new HashMap<>();
        for (int left = unpacker.unpackMapHeader(); left > 0; left--) {
            caps.put(unpacker.unpackString(), unpacker.unpackInt());
        }
        CallerLimits limits = new CallerLimits(
                unpacker.unpackInt(), unpacker.unpackLong(), readDuration(unpacker), readDuration(unpacker));
        return new FleetConfiguration(version, RouteTable.of(routes), caps, limits);
    }

    private static void writeRoute(MessagePacker packer, Route route) throws IOException {
        packer.packString(route.name());
        packer.packString(route.host());
        packer.packString(route.pathPrefix());
        packer.packString(route.kind().name());
        writeDuration(packer, route.timeout());
        writeDuration(packer, route.objective());
        packer.packInt(route.rank());
        packer.packInt(route.maxServers());
        MessageFields.writeList(packer, route.weightedServices(), (p, service) -> {
            p.packString(service.service());
            p.packDouble(service.weight());
        });
    }

    private static Route readRoute(MessageUnpacker unpacker) throws IOException {
        return new Route(
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                RequestKind.valueOf(unpacker.unpackString()),
                readDuration(unpacker),
                readDuration(unpacker),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                MessageFields.readList(unpacker, u -> new WeightedService(u.unpackString(), u.unpackDouble())));
    }

    private static void writeDuration(MessagePacker packer, Duration duration) throws IOException {
        packer.packLong(duration.toNanos());
    }

    private static Duration readDuration(MessageUnpacker unpacker) throws IOException {
        return Duration.ofNanos(unpacker.unpackLong());
    }
}
