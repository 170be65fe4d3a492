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

/** The codecs of the floor protocol's messages, types 80 to 86. */
public final class FloorCodecs {
    private static final int MAX_LIST_ENTRIES = 10_000;

    private FloorCodecs() {}

    /** Returns all codecs. */
    public static List<PeerMessageCodec<? extends FloorMessage>> all() {
        return List.of(
                voteRequest(),
                voteReply(),
                grantRequest(),
                grantReply(),
                grantRelease(),
                grantRevocation(),
                outOfServiceReport());
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

    private static PeerMessageCodec<GrantRequest> grantRequest() {
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

    private static PeerMessageCodec<GrantReply> grantReply() {
        return new FunctionCodec<>(
                83,
                GrantReply.class,
                (m, out) -> out.packString(m.service())
                        .packString(m.server())
                        .packLong(m.sequence())
                        .packString(m.result().name())
                        .packString(m.granter()),
                in -> new GrantReply(
                        in.unpackString(), in.unpackString(), in.unpackLong(), readResult(in), in.unpackString()));
    }

    private static PeerMessageCodec<GrantRelease> grantRelease() {
        return new FunctionCodec<>(
                84,
                GrantRelease.class,
                (m, out) -> out.packString(m.service()).packString(m.server()).packLong(m.sequence()),
                in -> new GrantRelease(in.unpackString(), in.unpackString(), in.unpackLong()));
    }

    private static PeerMessageCodec<GrantRevocation> grantRevocation() {
        return new FunctionCodec<>(
                85,
                GrantRevocation.class,
                (m, out) -> out.packString(m.service()).packString(m.server()),
                in -> new GrantRevocation(in.unpackString(), in.unpackString()));
    }

    private static PeerMessageCodec<OutOfServiceReport> outOfServiceReport() {
        return new FunctionCodec<>(
                86,
                OutOfServiceReport.class,
                (m, out) -> {
                    out.packString(m.service());
                    writeStrings(m.servers(), out);
                },
                in -> new OutOfServiceReport(in.unpackString(), readStrings(in)));
    }

    private static GrantResult readResult(MessageUnpacker in) throws IOException {
        String name = in.unpackString();
        return Arrays.stream(GrantResult.values())
                .filter(result -> result.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IOException(
                        "grant result \"" + name + "\", expected one of " + Arrays.toString(GrantResult.values())));
    }

    private static void writeStrings(List<String> strings, MessagePacker out) throws IOException {
        out.packArrayHeader(strings.size());
        for (String string : strings) {
            out.packString(string);
        }
    }

    private static List<String> readStrings(MessageUnpacker in) throws IOException {
        int size = in.unpackArrayHeader();
        if (size > MAX_LIST_ENTRIES) {
            throw new IOException("list of " + size + " entries, expected at most " + MAX_LIST_ENTRIES);
        }
        List<String> strings = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            strings.add(in.unpackString());
        }
        return strings;
    }
}
