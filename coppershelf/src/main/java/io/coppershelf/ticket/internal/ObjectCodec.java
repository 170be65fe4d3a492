package io.coppershelf.ticket.internal;

import com.google.common.io.ByteArrayDataInput;
import com.google.common.io.ByteArrayDataOutput;
import com.google.common.io.ByteStreams;
import io.coppershelf.ticket.ObjectKey;
import io.coppershelf.ticket.ObjectSpec;
import io.coppershelf.ticket.ObjectState;
import io.coppershelf.ticket.ObjectType;
import io.coppershelf.ticket.ObjectVersion;
import io.coppershelf.ticket.RouteSpec;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;

/**
 * Writes an object version as bytes and reads it back. The bytes don't include the name of the object.
 *
 * <p>Layout: ticket number (8 bytes), ticket digest (8), presence (1), then the fields of the type.
 */
public final class ObjectCodec {
    private static final int DIGEST_OFFSET = Long.BYTES;
    private static final int PRESENCE_OFFSET = 2 * Long.BYTES;
    private static final int SPEC_OFFSET = PRESENCE_OFFSET + 1;

    private ObjectCodec() {}

    /** Writes a version. */
    public static byte[] write(ObjectVersion version) {
        ByteArrayDataOutput out = ByteStreams.newDataOutput();
        out.writeLong(version.ticket());
        out.writeLong(version.ticketDigest());
        out.writeBoolean(version.state().spec().isPresent());
        version.state().spec().ifPresent(spec -> writeSpec(spec, out));
        return out.toByteArray();
    }

    /** Reads a version. */
    public static ObjectVersion read(ObjectKey key, byte[] bytes) {
        return new ObjectVersion(ticket(bytes), digest(bytes), new ObjectState(key, spec(key, bytes)));
    }

    /** Returns the ticket number of a written version. */
    public static long ticket(byte[] bytes) {
        return ByteBuffer.wrap(bytes).getLong(0);
    }

    /** Returns the ticket digest of a written version. */
    public static long digest(byte[] bytes) {
        return ByteBuffer.wrap(bytes).getLong(DIGEST_OFFSET);
    }

    /** Returns whether the object exists in a written version. */
    public static boolean isPresent(byte[] bytes) {
        return bytes[PRESENCE_OFFSET] != 0;
    }

    /** Returns the spec of a written version, empty if the object is removed. */
    public static Optional<ObjectSpec> spec(ObjectKey key, byte[] bytes) {
        if (!isPresent(bytes)) {
            return Optional.empty();
        }
        ByteArrayDataInput in = ByteStreams.newDataInput(bytes, SPEC_OFFSET);
        return Optional.of(readSpec(key.type(), key.name(), in));
    }

    /** Writes the state of an object, name included, for the digest of a ticket. */
    static void writeState(ObjectState state, ByteArrayDataOutput out) {
        out.writeUTF(state.key().type().name());
        out.writeUTF(state.key().name());
        out.writeBoolean(state.spec().isPresent());
        state.spec().ifPresent(spec -> writeSpec(spec, out));
    }

    private static void writeSpec(ObjectSpec spec, ByteArrayDataOutput out) {
        if (spec instanceof ServiceSpec service) {
            out.writeInt(service.floor());
            out.writeDouble(service.detectionWeight());
            return;
        }
        if (spec instanceof ServerSpec server) {
            writeServer(server, out);
            return;
        }
        writeRoute((RouteSpec) spec, out);
    }

    private static void writeServer(ServerSpec server, ByteArrayDataOutput out) {
        out.writeUTF(server.service());
        out.writeUTF(server.dataCentre());
        out.writeUTF(server.host());
        out.writeInt(server.port());
        out.writeInt(server.slots());
        out.writeInt(server.connections());
        out.writeBoolean(server.draining());
    }

    private static void writeRoute(RouteSpec route, ByteArrayDataOutput out) {
        out.writeUTF(route.service());
        out.writeUTF(route.method());
        out.writeUTF(route.path());
        out.writeBoolean(route.idempotent());
        out.writeLong(route.deadline().toMillis());
        out.writeInt(route.weight());
        out.writeInt(route.largestBody());
        out.writeInt(route.largestAnswer());
    }

    private static ObjectSpec readSpec(ObjectType type, String name, ByteArrayDataInput in) {
        return switch (type) {
            case SERVICE -> new ServiceSpec(name, in.readInt(), in.readDouble());
            case SERVER ->
                new ServerSpec(
                        name,
                        in.readUTF(),
                        in.readUTF(),
                        in.readUTF(),
                        in.readInt(),
                        in.readInt(),
                        in.readInt(),
                        in.readBoolean());
            case ROUTE ->
                new RouteSpec(
                        name,
                        in.readUTF(),
                        in.readUTF(),
                        in.readUTF(),
                        in.readBoolean(),
                        Duration.ofMillis(in.readLong()),
                        in.readInt(),
                        in.readInt(),
                        in.readInt());
        };
    }
}
