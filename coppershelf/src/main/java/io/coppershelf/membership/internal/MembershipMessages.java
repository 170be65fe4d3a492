package io.coppershelf.membership.internal;

import io.coppershelf.membership.Vm;
import io.coppershelf.membership.VmFields;
import io.coppershelf.peer.FunctionCodec;
import io.coppershelf.peer.MessageFields;
import io.coppershelf.peer.PeerMessage;
import io.coppershelf.peer.PeerMessageCodec;
import java.util.List;

/** The messages of membership and their codecs. */
final class MembershipMessages {
    static final PeerMessageCodec<Ping> PING = new FunctionCodec<>(
            2,
            Ping.class,
            (ping, packer) -> {
                ping.sender().write(packer);
                MessageFields.writeList(packer, ping.updates(), (p, update) -> update.write(p));
            },
            unpacker -> new Ping(MemberUpdate.read(unpacker), MessageFields.readList(unpacker, MemberUpdate::read)));

    static final PeerMessageCodec<PingReply> PING_REPLY = new FunctionCodec<>(
            3,
            PingReply.class,
            (reply, packer) -> {
                reply.sender().write(packer);
                MessageFields.writeList(packer, reply.updates(), (p, update) -> update.write(p));
                packer.packLong(reply.digest()).packLong(reply.listRevision());
            },
            unpacker -> new PingReply(
                    MemberUpdate.read(unpacker),
                    MessageFields.readList(unpacker, MemberUpdate::read),
                    unpacker.unpackLong(),
                    unpacker.unpackLong()));

    static final PeerMessageCodec<ProbeRequest> PROBE_REQUEST = new FunctionCodec<>(
            4,
            ProbeRequest.class,
            (request, packer) -> VmFields.write(packer, request.target()),
            unpacker -> new ProbeRequest(VmFields.read(unpacker)));

    static final PeerMessageCodec<ProbeResult> PROBE_RESULT = new FunctionCodec<>(
            5,
            ProbeResult.class,
            (result, packer) -> packer.packBoolean(result.isReached()),
            unpacker -> new ProbeResult(unpacker.unpackBoolean()));

    static final PeerMessageCodec<JoinRequest> JOIN_REQUEST = new FunctionCodec<>(
            6,
            JoinRequest.class,
            (request, packer) -> request.sender().write(packer),
            unpacker -> new JoinRequest(MemberUpdate.read(unpacker)));

    static final PeerMessageCodec<LeaveMessage> LEAVE = new FunctionCodec<>(
            7,
            LeaveMessage.class,
            (leave, packer) -> packer.packLong(leave.incarnation()),
            unpacker -> new LeaveMessage(unpacker.unpackLong()));

    static final PeerMessageCodec<ListRequest> LIST_REQUEST =
            new FunctionCodec<>(8, ListRequest.class, (request, packer) -> {}, unpacker -> new ListRequest());

    static final PeerMessageCodec<ListReply> LIST_REPLY = new FunctionCodec<>(
            9,
            ListReply.class,
            (reply, packer) -> {
                packer.packLong(reply.revision());
                MessageFields.writeList(packer, reply.vms(), VmFields::write);
            },
            unpacker -> new ListReply(unpacker.unpackLong(), MessageFields.readList(unpacker, VmFields::read)));

    private MembershipMessages() {}

    /**
     * A probe.
     *
     * @param sender the update of the sender about itself
     * @param updates updates to disseminate
     */
    record Ping(MemberUpdate sender, List<MemberUpdate> updates) implements PeerMessage {}

    /**
     * The reply to a probe, or to a request to join; the latter contains all updates.
     *
     * @param sender the update of the sender about itself
     * @param updates updates to disseminate
     * @param digest a digest of its updates about live VMs
     * @param listRevision the revision of its last VM list of the platform, 0 if it has none
     */
    record PingReply(MemberUpdate sender, List<MemberUpdate> updates, long digest, long listRevision)
            implements PeerMessage {}

    /** Requests that the receiver probes the target. */
    record ProbeRequest(Vm target) implements PeerMessage {}

    /** Reports whether the target replied to the probe of the sender. */
    record ProbeResult(boolean isReached) implements PeerMessage {}

    /** Requests all updates of the receiver and introduces the sender. */
    record JoinRequest(MemberUpdate sender) implements PeerMessage {}

    /** Requests the receiver's last VM list of the platform. */
    record ListRequest() implements PeerMessage {}

    /** The reply to a {@link ListRequest}. */
    record ListReply(long revision, List<Vm> vms) implements PeerMessage {}

    /** Announces that the sender leaves and takes no new work from now on. */
    record LeaveMessage(long incarnation) implements PeerMessage {}
}
