package io.coppershelf.ticket.internal.spread;

import io.coppershelf.peer.FunctionCodec;
import io.coppershelf.peer.MessageFields;
import io.coppershelf.peer.PeerMessage;
import io.coppershelf.peer.PeerMessageCodec;
import io.coppershelf.ticket.internal.spread.SpreadEvent.Summary;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The messages of the spread of tickets and their codecs. */
final class SpreadMessages {
    static final PeerMessageCodec<Announcement> ANNOUNCEMENT = new FunctionCodec<>(
            20,
            Announcement.class,
            (message, packer) -> writeKey(message.key(), packer),
            unpacker -> new Announcement(readKey(unpacker)));

    static final PeerMessageCodec<AnnouncementReply> ANNOUNCEMENT_REPLY = new FunctionCodec<>(
            21,
            AnnouncementReply.class,
            (message, packer) -> packer.packBoolean(message.wasKnown()),
            unpacker -> new AnnouncementReply(unpacker.unpackBoolean()));

    static final PeerMessageCodec<PullRequest> PULL_REQUEST = new FunctionCodec<>(
            22,
            PullRequest.class,
            (message, packer) -> writeKey(message.key(), packer),
            unpacker -> new PullRequest(readKey(unpacker)));

    static final PeerMessageCodec<PullReply> PULL_REPLY = new FunctionCodec<>(
            23,
            PullReply.class,
            (message, packer) -> MessageFields.writeOptional(packer, message.document(), MessageFields::writeBytes),
            unpacker -> new PullReply(MessageFields.readOptional(unpacker, MessageFields::readBytes)));

    static final PeerMessageCodec<RepairRequest> REPAIR_REQUEST = new FunctionCodec<>(
            24,
            RepairRequest.class,
            (message, packer) -> writeSummary(message.summary(), packer),
            unpacker -> new RepairRequest(readSummary(unpacker)));

    static final PeerMessageCodec<RepairReply> REPAIR_REPLY = new FunctionCodec<>(
            25,
            RepairReply.class,
            (message, packer) -> {
                writeSummary(message.summary(), packer);
                MessageFields.writeList(packer, message.groupDigests(), MessagePacker::packLong);
            },
            unpacker -> new RepairReply(
                    readSummary(unpacker), MessageFields.readList(unpacker, MessageUnpacker::unpackLong)));

    static final PeerMessageCodec<BucketsRequest> BUCKETS_REQUEST = new FunctionCodec<>(
            26,
            BucketsRequest.class,
            (message, packer) -> MessageFields.writeList(packer, message.groups(), MessagePacker::packInt),
            unpacker -> new BucketsRequest(MessageFields.readList(unpacker, MessageUnpacker::unpackInt)));

    static final PeerMessageCodec<BucketsReply> BUCKETS_REPLY = new FunctionCodec<>(
            27,
            BucketsReply.class,
            (message, packer) -> MessageFields.writeList(
                    packer,
                    message.digests(),
                    (p, bucket) -> p.packInt(bucket.bucket()).packLong(bucket.digest())),
            unpacker -> new BucketsReply(
                    MessageFields.readList(unpacker, u -> new BucketDigest(u.unpackInt(), u.unpackLong()))));

    static final PeerMessageCodec<VersionsRequest> VERSIONS_REQUEST = new FunctionCodec<>(
            28,
            VersionsRequest.class,
            (message, packer) -> MessageFields.writeList(packer, message.buckets(), MessagePacker::packInt),
            unpacker -> new VersionsRequest(MessageFields.readList(unpacker, MessageUnpacker::unpackInt)));

    static final PeerMessageCodec<VersionsReply> VERSIONS_REPLY = new FunctionCodec<>(
            29,
            VersionsReply.class,
            (message, packer) -> MessageFields.writeList(packer, message.extracts(), (p, extract) -> {
                writeKey(extract.key(), p);
                MessageFields.writeBytes(p, extract.document());
            }),
            unpacker -> new VersionsReply(
                    MessageFields.readList(unpacker, u -> new TicketExtract(readKey(u), MessageFields.readBytes(u)))));

    private SpreadMessages() {}

    private static void writeKey(TicketKey key, MessagePacker packer) throws IOException {
        packer.packLong(key.number()).packLong(key.digest());
    }

    private static TicketKey readKey(MessageUnpacker unpacker) throws IOException {
        return new TicketKey(unpacker.unpackLong(), unpacker.unpackLong());
    }

    private static void writeSummary(Summary summary, MessagePacker packer) throws IOException {
        packer.packLong(summary.digest()).packBoolean(summary.isReady()).packLong(summary.platformAgeMillis());
    }

    private static Summary readSummary(MessageUnpacker unpacker) throws IOException {
        return new Summary(unpacker.unpackLong(), unpacker.unpackBoolean(), unpacker.unpackLong());
    }

    /** Announces that the sender has a ticket. */
    record Announcement(TicketKey key) implements PeerMessage {}

    /** Reports whether the sender already had the announced ticket. */
    record AnnouncementReply(boolean wasKnown) implements PeerMessage {}

    /** Requests a ticket. */
    record PullRequest(TicketKey key) implements PeerMessage {}

    /** The JSON document of a ticket, empty if the sender has discarded it. */
    record PullReply(Optional<byte[]> document) implements PeerMessage {}

    /** Requests a comparison of configurations. */
    record RepairRequest(Summary summary) implements PeerMessage {}

    /** The digest of each group of buckets, none if the configurations are equal. */
    record RepairReply(Summary summary, List<Long> groupDigests) implements PeerMessage {}

    /** Requests the digests of the buckets in some groups. */
    record BucketsRequest(List<Integer> groups) implements PeerMessage {}

    /** The digests of some buckets. */
    record BucketsReply(List<BucketDigest> digests) implements PeerMessage {}

    /** Requests the versions of the objects in some buckets. */
    record VersionsRequest(List<Integer> buckets) implements PeerMessage {}

    /**
     * The versions of the objects in some buckets, grouped by ticket. Versions beyond the size limit are left for a
     * later repair.
     */
    record VersionsReply(List<TicketExtract> extracts) implements PeerMessage {}

    /** The digest of one bucket. */
    record BucketDigest(int bucket, long digest) {}

    /**
     * The objects of a ticket that are still in force on a VM.
     *
     * @param key the ticket
     * @param document a JSON ticket document with these objects
     */
    record TicketExtract(TicketKey key, byte[] document) {}
}
