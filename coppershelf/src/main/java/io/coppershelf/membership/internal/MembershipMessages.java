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
                reply.answerer().write(packer);
                MessageFields.writeList(packer, reply.updates(), (p, update) -> update.write(p));
                packer.packLong(reply.digest());
            },
            unpacker -> new PingReply(
                    MemberUpdate.read(unpacker),
                    MessageFields.readList(unpacker, MemberUpdate::read),
                    unpacker.unpackLong()));

    static final PeerMessageCodec<ProbeRequest> PROBE_REQUEST = new FunctionCodec<>(
            4,
            ProbeRequest.class,
            (request, packer) -> VmFields.write(packer, request.target()),
            unpacker -> new ProbeRequest(VmFields.read(unpacker)));

    static final PeerMessageCodec<ProbeVerdict> PROBE_VERDICT = new FunctionCodec<>(
            5,
            ProbeVerdict.class,
            (verdict, packer) -> packer.packBoolean(verdict.isReached()),
            unpacker -> new ProbeVerdict(unpacker.unpackBoolean()));

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

    private MembershipMessages() {}

    /**
     * A probe.
     *
     * @param sender what the sender says of itself
     * @param updates statements that it passes on
     */
    record Ping(MemberUpdate sender, List<MemberUpdate> updates) implements PeerMessage {}

    /**
     * The answer to a probe, or to a request to join, with all statements then.
     *
     * @param answerer what the sender says of itself
     * @param updates statements that it passes on
     * @param digest a digest over its statements on live VMs
     */
    record PingReply(MemberUpdate answerer, List<MemberUpdate> updates, long digest) implements PeerMessage {}

    /** Asks the receiver to probe the target. */
    record ProbeRequest(Vm target) implements PeerMessage {}

    /** Tells whether the target answered the probe of the sender. */
    record ProbeVerdict(boolean isReached) implements PeerMessage {}

    /** Asks for all statements of the receiver and introduces the sender. */
    record JoinRequest(MemberUpdate sender) implements PeerMessage {}

    /** Tells that the sender takes no new work from now on. */
    record LeaveMessage(long incarnation) implements PeerMessage {}
}
