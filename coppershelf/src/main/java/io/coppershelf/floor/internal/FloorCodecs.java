package io.coppershelf.floor.internal;

import io.coppershelf.floor.internal.FloorMessage.GrantRelease;
import io.coppershelf.floor.internal.FloorMessage.GrantReply;
import io.coppershelf.floor.internal.FloorMessage.GrantRequest;
import io.coppershelf.floor.internal.FloorMessage.GrantResult;
import io.coppershelf.floor.internal.FloorMessage.GrantRevocation;
import io.coppershelf.floor.internal.FloorMessage.OutOfServiceReport;
import io.coppershelf.floor.internal.FloorMessage.VoteReply;
import io.coppershelf.floor.internal.FloorMessage.VoteRequest;
import io.coppershelf.peer.FunctionCodec;
import io.coppershelf.peer.PeerMessageCodec;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The codecs of the floor's messages, types 80 to 86. */
public final class FloorCodecs {
    private static final int LONGEST_LIST = 10_000;

    private FloorCodecs() {}

    /** Returns all codecs. */
    public static List<PeerMessageCodec<? extends FloorMessage>> all() {
        return List.of(
                voteRequest(), voteReply(), rightRequest(), rightReply(), rightRelease(), rightRevoked(), outReport());
    }

    private static PeerMessageCodec<VoteRequest> voteRequest() {
        return new FunctionCodec<>(
                80,
                VoteRequest.class,
                (m, out) -> {
                    out.packString(m.service()).packLong(m.incarnation()).packLong(m.round());
                    writeStrings(m.voters(), out);
                },
                in -> new VoteRequest(in.unpackString(), in.unpackLong(), in.unpackLong(), readStrings(in)));
    }

    private static PeerMessageCodec<VoteReply> voteReply() {
        return new FunctionCodec<>(
                81,
                VoteReply.class,
                (m, out) -> out.packString(m.service())
                        .packLong(m.incarnation())
                        .packLong(m.round())
                        .packBoolean(m.granted()),
                in -> new VoteReply(in.unpackString(), in.unpackLong(), in.unpackLong(), in.unpackBoolean()));
    }

    private static PeerMessageCodec<GrantRequest> rightRequest() {
        return new FunctionCodec<>(
                82,
                GrantRequest.class,
                (m, out) -> out.packString(m.service())
                        .packString(m.server())
                        .packLong(m.sequence())
                        .packBoolean(m.live())
                        .packLong(m.ticket())
                        .packInt(m.allowance()),
                in -> new GrantRequest(
                        in.unpackString(),
                        in.unpackString(),
                        in.unpackLong(),
                        in.unpackBoolean(),
                        in.unpackLong(),
                        in.unpackInt()));
    }

    private static PeerMessageCodec<GrantReply> rightReply() {
        return new FunctionCodec<>(
                83,
                GrantReply.class,
                (m, out) -> out.packString(m.service())
                        .packString(m.server())
                        .packLong(m.sequence())
                        .packString(m.verdict().name())
                        .packString(m.granter()),
                in -> new GrantReply(
                        in.unpackString(), in.unpackString(), in.unpackLong(), readVerdict(in), in.unpackString()));
    }

    private static PeerMessageCodec<GrantRelease> rightRelease() {
        return new FunctionCodec<>(
                84,
                GrantRelease.class,
                (m, out) -> out.packString(m.service()).packString(m.server()).packLong(m.sequence()),
                in -> new GrantRelease(in.unpackString(), in.unpackString(), in.unpackLong()));
    }

    private static PeerMessageCodec<GrantRevocation> rightRevoked() {
        return new FunctionCodec<>(
                85,
                GrantRevocation.class,
                (m, out) -> out.packString(m.service()).packString(m.server()),
                in -> new GrantRevocation(in.unpackString(), in.unpackString()));
    }

    private static PeerMessageCodec<OutOfServiceReport> outReport() {
        return new FunctionCodec<>(
                86,
                OutOfServiceReport.class,
                (m, out) -> {
                    out.packString(m.service());
                    writeStrings(m.servers(), out);
                },
                in -> new OutOfServiceReport(in.unpackString(), readStrings(in)));
    }

    private static GrantResult readVerdict(MessageUnpacker in) throws IOException {
        String name = in.unpackString();
        return Arrays.stream(GrantResult.values())
                .filter(verdict -> verdict.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IOException(
                        "verdict \"" + name + "\", expected one of " + Arrays.toString(GrantResult.values())));
    }

    private static void writeStrings(List<String> strings, MessagePacker out) throws IOException {
        out.packArrayHeader(strings.size());
        for (String string : strings) {
            out.packString(string);
        }
    }

    private static List<String> readStrings(MessageUnpacker in) throws IOException {
        int size = in.unpackArrayHeader();
        if (size > LONGEST_LIST) {
            throw new IOException("list of " + size + " entries, expected at most " + LONGEST_LIST);
        }
        List<String> strings = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            strings.add(in.unpackString());
        }
        return strings;
    }
}
