package io.coppershelf.mesh;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.CatalogRevision;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.peer.MessageFields;
import io.coppershelf.poison.RequestFingerprint;
import io.coppershelf.quota.QuotaMessage;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.core.buffer.ArrayBufferInput;

/**
 * Encodes and decodes the messages of the mesh. An instance reuses its buffers for one message after the other and is
 * not thread-safe.
 */
final class MeshCodec {
    private static final int VERSION = 4;
    private static final int MEMBERS = 1;
    private static final int SERVER_SUMMARY = 2;
    private static final int CATALOG_UPDATE = 3;
    private static final int SERVER_REPORT = 4;
    private static final int SERVER_LEAVING = 5;
    private static final int SERVER_LIMIT = 6;
    private static final int REQUEST_CRASHES = 7;
    private static final int REQUEST_CLEARED = 8;
    private static final int SUMMARY_REQUEST = 11;
    private static final int TOKEN_REQUEST = 9;
    private static final int TOKEN_GRANT = 10;
    /** Bounds the memory for observations that is allocated before they are read. */
    private static final int MAX_EXPECTED_OBSERVATIONS = 64;

    private final MessageBufferPacker reusedPacker = MessagePack.newDefaultBufferPacker();
    private final ArrayBufferInput reusedInput = new ArrayBufferInput(new byte[0]);
    private final MessageUnpacker reusedUnpacker = MessagePack.newDefaultUnpacker(reusedInput);

    static byte[] encode(MeshMessage message) {
        return new MeshCodec().encodeNext(message);
    }

    byte[] encodeNext(MeshMessage message) {
        try {
            reusedPacker.clear();
            reusedPacker.packInt(VERSION);
            write(reusedPacker, message);
            return reusedPacker.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads a message. Fields behind the known ones are ignored, so that later builds can add some.
     *
     * @throws IOException if the bytes are not a message of this version
     */
    static MeshMessage decode(byte[] bytes) throws IOException {
        return new MeshCodec().decodeNext(bytes, bytes.length);
    }

    /**
     * Reads a message from the first bytes of an array.
     *
     * @throws IOException if they are not a message of this version
     */
    MeshMessage decodeNext(byte[] bytes, int length) throws IOException {
        reusedInput.reset(bytes, 0, length);
        reusedUnpacker.reset(reusedInput);
        return decode(reusedUnpacker);
    }

    private static MeshMessage decode(MessageUnpacker unpacker) throws IOException {
        try {
            int version = unpacker.unpackInt();
            if (version != VERSION) {
                throw new IOException("expected version " + VERSION + " but got " + version);
            }
            int type = unpacker.unpackInt();
            return switch (type) {
                case MEMBERS ->
                    new MeshMessage.Members(
                            MessageFields.readList(unpacker, MeshCodec::readMember), unpacker.unpackBoolean());
                case SERVER_SUMMARY ->
                    new MeshMessage.ServerSummary(
                            MessageFields.readList(unpacker, MessageUnpacker::unpackLong),
                            MessageFields.readList(unpacker, MessageUnpacker::unpackInt),
                            MessageFields.readList(unpacker, MessageUnpacker::unpackInt));
                case CATALOG_UPDATE ->
                    new MeshMessage.CatalogUpdate(
                            readRevision(unpacker),
                            readRevision(unpacker),
                            unpacker.unpackLong(),
                            unpacker.unpackInt(),
                            MessageFields.readList(unpacker, MeshCodec::readServer),
                            MessageFields.readList(unpacker, MessageUnpacker::unpackString));
                case SERVER_REPORT ->
                    new MeshMessage.ServerReport(
                            MessageFields.readList(unpacker, MessageUnpacker::unpackLong),
                            MessageFields.readList(unpacker, MessageUnpacker::unpackInt),
                            readObservations(unpacker));
                case SERVER_LEAVING -> new MeshMessage.ServerLeaving(unpacker.unpackString());
                case SERVER_LIMIT ->
                    new MeshMessage.ServerLimit(
                            unpacker.unpackString(),
                            MessageFields.readOptional(unpacker, MessageUnpacker::unpackDouble));
                case REQUEST_CRASHES ->
                    new MeshMessage.RequestCrashes(MessageFields.readList(unpacker, MeshCodec::readCrash));
                case REQUEST_CLEARED ->
                    new MeshMessage.RequestCleared(MessageFields.readList(unpacker, MeshCodec::readFingerprint));
                case SUMMARY_REQUEST -> new MeshMessage.SummaryRequest();
                case TOKEN_REQUEST -> new MeshMessage.Tokens(TokenFields.readRequest(unpacker));
                case TOKEN_GRANT -> new MeshMessage.Tokens(TokenFields.readGrant(unpacker));
                default -> new MeshMessage.Unknown(type);
            };
        } catch (RuntimeException e) {
            throw new IOException("not a message of the mesh", e);
        }
    }

    private static void write(MessagePacker packer, MeshMessage message) throws IOException {
        if (message instanceof MeshMessage.Members members) {
            packer.packInt(MEMBERS);
            MessageFields.writeList(packer, members.members(), MeshCodec::writeMember);
            packer.packBoolean(members.isReplyRequested());
        } else if (message instanceof MeshMessage.ServerSummary summary) {
            packer.packInt(SERVER_SUMMARY);
            MessageFields.writeList(packer, summary.serverCodes(), MessagePacker::packLong);
            MessageFields.writeList(packer, summary.inFlight(), MessagePacker::packInt);
            MessageFields.writeList(packer, summary.unhealthyPerMille(), MessagePacker::packInt);
        } else if (message instanceof MeshMessage.ServerReport report) {
            packer.packInt(SERVER_REPORT);
            MessageFields.writeList(packer, report.serverCodes(), MessagePacker::packLong);
            MessageFields.writeList(packer, report.inFlight(), MessagePacker::packInt);
            MessageFields.writeList(packer, report.observations(), MeshCodec::writeObservation);
        } else if (message instanceof MeshMessage.ServerLeaving leaving) {
            packer.packInt(SERVER_LEAVING);
            packer.packString(leaving.serverKey());
        } else if (message instanceof MeshMessage.ServerLimit limit) {
            packer.packInt(SERVER_LIMIT);
            packer.packString(limit.serverKey());
            MessageFields.writeOptional(packer, limit.perSecond(), MessagePacker::packDouble);
        } else if (message instanceof MeshMessage.RequestCrashes crashes) {
            packer.packInt(REQUEST_CRASHES);
            MessageFields.writeList(packer, crashes.requests(), MeshCodec::writeCrash);
        } else if (message instanceof MeshMessage.RequestCleared cleared) {
            packer.packInt(REQUEST_CLEARED);
            MessageFields.writeList(packer, cleared.fingerprints(), MeshCodec::writeFingerprint);
        } else if (message instanceof MeshMessage.SummaryRequest) {
            packer.packInt(SUMMARY_REQUEST);
        } else if (message instanceof MeshMessage.Tokens tokens) {
            writeTokens(packer, tokens.message());
        } else if (message instanceof MeshMessage.Unknown unknown) {
            packer.packInt(unknown.type());
        } else if (message instanceof MeshMessage.CatalogUpdate update) {
            packer.packInt(CATALOG_UPDATE);
            writeRevision(packer, update.since());
            writeRevision(packer, update.revision());
            packer.packLong(update.configurationVersion());
            packer.packInt(update.ageMillis());
            MessageFields.writeList(packer, update.changed(), MeshCodec::writeServer);
            MessageFields.writeList(packer, update.removed(), MessagePacker::packString);
        }
    }

    private static void writeTokens(MessagePacker packer, QuotaMessage message) throws IOException {
        if (message instanceof QuotaMessage.Request request) {
            packer.packInt(TOKEN_REQUEST);
            TokenFields.writeRequest(packer, request);
        } else if (message instanceof QuotaMessage.Grant grant) {
            packer.packInt(TOKEN_GRANT);
            TokenFields.writeGrant(packer, grant);
        }
    }

    private static void writeObservation(MessagePacker packer, MeshMessage.ServerObservation observed)
            throws IOException {
        packer.packString(observed.serverKey());
        packer.packInt(observed.observation().code());
    }

    /** Reads the observations of a report but those whose kind only later builds know. */
    private static List<MeshMessage.ServerObservation> readObservations(MessageUnpacker unpacker) throws IOException {
        int size = unpacker.unpackArrayHeader();
        List<MeshMessage.ServerObservation> observations = new ArrayList<>(Math.min(size, MAX_EXPECTED_OBSERVATIONS));
        for (int i = 0; i < size; i++) {
            String serverKey = unpacker.unpackString();
            Optional<Observation> observation = Observation.ofCode(unpacker.unpackInt());
            if (observation.isPresent()) {
                observations.add(new MeshMessage.ServerObservation(serverKey, observation.get()));
            }
        }
        return observations;
    }

    private static void writeCrash(MessagePacker packer, MeshMessage.RequestCrash crash) throws IOException {
        writeFingerprint(packer, crash.request());
        packer.packInt(crash.minVariants());
        MessageFields.writeList(packer, crash.variants(), MessagePacker::packLong);
        MessageFields.writeList(packer, crash.serverCodes(), MessagePacker::packLong);
        packer.packLong(crash.crashedMillis());
    }

    private static MeshMessage.RequestCrash readCrash(MessageUnpacker unpacker) throws IOException {
        return new MeshMessage.RequestCrash(
                readFingerprint(unpacker),
                unpacker.unpackInt(),
                MessageFields.readList(unpacker, MessageUnpacker::unpackLong),
                MessageFields.readList(unpacker, MessageUnpacker::unpackLong),
                unpacker.unpackLong());
    }

    private static void writeFingerprint(MessagePacker packer, RequestFingerprint request) throws IOException {
        packer.packLong(request.head());
        packer.packLong(request.body());
    }

    private static RequestFingerprint readFingerprint(MessageUnpacker unpacker) throws IOException {
        return new RequestFingerprint(unpacker.unpackLong(), unpacker.unpackLong());
    }

    private static void writeMember(MessagePacker packer, MemberEntry member) throws IOException {
        writeAddress(packer, member.address());
        packer.packString(member.dataCentre());
        packer.packLong(member.incarnation());
        packer.packLong(member.heartbeat());
        packer.packBoolean(member.isLeaving());
        packer.packInt(member.relayPort());
        packer.packBoolean(member.isCutOff());
    }

    private static MemberEntry readMember(MessageUnpacker unpacker) throws IOException {
        return new MemberEntry(
                readAddress(unpacker),
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackBoolean(),
                unpacker.unpackInt(),
                unpacker.unpackBoolean());
    }

    static void writeRevision(MessagePacker packer, CatalogRevision revision) throws IOException {
        packer.packLong(revision.era());
        packer.packLong(revision.number());
    }

    static CatalogRevision readRevision(MessageUnpacker unpacker) throws IOException {
        return new CatalogRevision(unpacker.unpackLong(), unpacker.unpackLong());
    }

    static void writeServer(MessagePacker packer, BackendServer server) throws IOException {
        packer.packString(server.id());
        packer.packLong(server.startedMillis());
        packer.packString(server.service());
        writeAddress(packer, server.address());
        packer.packString(server.dataCentre());
        packer.packInt(server.slots());
        packer.packBoolean(server.isAccepting());
        packer.packLong(server.coldMillis());
    }

    static BackendServer readServer(MessageUnpacker unpacker) throws IOException {
        return new BackendServer(
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackString(),
                readAddress(unpacker),
                unpacker.unpackString(),
                unpacker.unpackInt(),
                unpacker.unpackBoolean(),
                unpacker.unpackLong());
    }

    private static void writeAddress(MessagePacker packer, InetSocketAddress address) throws IOException {
        MessageFields.writeBytes(packer, address.getAddress().getAddress());
        packer.packInt(address.getPort());
    }

    private static InetSocketAddress readAddress(MessageUnpacker unpacker) throws IOException {
        byte[] ip = MessageFields.readBytes(unpacker);
        return new InetSocketAddress(InetAddress.getByAddress(ip), unpacker.unpackInt());
    }
}
