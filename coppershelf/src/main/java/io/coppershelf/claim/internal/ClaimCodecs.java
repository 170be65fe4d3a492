package io.coppershelf.claim.internal;

import io.coppershelf.backend.BackendRequest.Header;
import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.claim.internal.ClaimMessage.ClaimCompletion;
import io.coppershelf.claim.internal.ClaimMessage.ClaimConfirmation;
import io.coppershelf.claim.internal.ClaimMessage.ClaimPage;
import io.coppershelf.claim.internal.ClaimMessage.ClaimPull;
import io.coppershelf.claim.internal.ClaimMessage.ClaimPush;
import io.coppershelf.claim.internal.ClaimMessage.ClaimReply;
import io.coppershelf.claim.internal.ClaimMessage.ClaimRequest;
import io.coppershelf.peer.FunctionCodec;
import io.coppershelf.peer.FunctionCodec.Reader;
import io.coppershelf.peer.FunctionCodec.Writer;
import io.coppershelf.peer.PeerMessageCodec;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The codecs of the claim messages, types 100 to 106. */
public final class ClaimCodecs {
    private static final int MAX_LIST_ENTRIES = 10_000;

    private ClaimCodecs() {}

    /** Returns the codec of {@link ClaimRequest}. */
    public static PeerMessageCodec<ClaimRequest> request() {
        return new FunctionCodec<>(
                100,
                ClaimRequest.class,
                (m, out) -> {
                    out.packString(m.key());
                    writeDigest(m.digest(), out);
                    out.packString(m.requestId()).packLong(m.remainingMillis());
                },
                in -> new ClaimRequest(in.unpackString(), readDigest(in), in.unpackString(), in.unpackLong()));
    }

    /** Returns the codec of {@link ClaimReply}. */
    public static PeerMessageCodec<ClaimReply> reply() {
        return new FunctionCodec<>(
                101,
                ClaimReply.class,
                (m, out) -> {
                    out.packString(m.decision().kind().name());
                    writeAnswer(m.decision().answer(), out);
                },
                in -> new ClaimReply(new HolderDecision(readEnum(HolderDecision.Kind.values(), in), readAnswer(in))));
    }

    /** Returns the codec of {@link ClaimCompletion}. */
    public static PeerMessageCodec<ClaimCompletion> completion() {
        return new FunctionCodec<>(
                102,
                ClaimCompletion.class,
                (m, out) -> {
                    out.packString(m.key());
                    writeDigest(m.digest(), out);
                    out.packString(m.requestId()).packString(m.status().name());
                    writeAnswer(m.answer(), out);
                },
                in -> new ClaimCompletion(
                        in.unpackString(),
                        readDigest(in),
                        in.unpackString(),
                        readEnum(ClaimStatus.values(), in),
                        readAnswer(in)));
    }

    /** Returns the codec of {@link ClaimConfirmation}. */
    public static PeerMessageCodec<ClaimConfirmation> confirmation() {
        return new FunctionCodec<>(103, ClaimConfirmation.class, (m, out) -> {}, in -> new ClaimConfirmation());
    }

    /** Returns the codec of {@link ClaimPull}. */
    public static PeerMessageCodec<ClaimPull> pull() {
        return new FunctionCodec<>(
                104, ClaimPull.class, (m, out) -> out.packString(m.after()), in -> new ClaimPull(in.unpackString()));
    }

    /** Returns the codec of {@link ClaimPage}. */
    public static PeerMessageCodec<ClaimPage> page() {
        return new FunctionCodec<>(
                105,
                ClaimPage.class,
                (m, out) -> {
                    writeList(m.claims(), ClaimCodecs::writeClaim, out);
                    out.packString(m.last()).packBoolean(m.complete()).packBoolean(m.historyKnown());
                    writeList(m.lost(), (id, packer) -> packer.packString(id), out);
                },
                in -> new ClaimPage(
                        readList(ClaimCodecs::readClaim, in),
                        in.unpackString(),
                        in.unpackBoolean(),
                        in.unpackBoolean(),
                        readList(MessageUnpacker::unpackString, in)));
    }

    /** Returns the codec of {@link ClaimPush}. */
    public static PeerMessageCodec<ClaimPush> push() {
        return new FunctionCodec<>(
                106,
                ClaimPush.class,
                (m, out) -> writeList(m.claims(), ClaimCodecs::writeClaim, out),
                in -> new ClaimPush(readList(ClaimCodecs::readClaim, in)));
    }

    private static void writeClaim(TransferredClaim claim, MessagePacker out) throws IOException {
        out.packString(claim.key()).packString(claim.requestId());
        writeDigest(claim.digest(), out);
        out.packString(claim.status().name());
        writeAnswer(claim.answer(), out);
        out.packLong(claim.overdueInNanos()).packLong(claim.expiresInNanos());
    }

    private static TransferredClaim readClaim(MessageUnpacker in) throws IOException {
        return new TransferredClaim(
                in.unpackString(),
                in.unpackString(),
                readDigest(in),
                readEnum(ClaimStatus.values(), in),
                readAnswer(in),
                in.unpackLong(),
                in.unpackLong());
    }

    private static void writeDigest(RequestDigest digest, MessagePacker out) throws IOException {
        out.packLong(digest.high()).packLong(digest.low());
    }

    private static RequestDigest readDigest(MessageUnpacker in) throws IOException {
        return new RequestDigest(in.unpackLong(), in.unpackLong());
    }

    private static void writeAnswer(Optional<Answer> answer, MessagePacker out) throws IOException {
        out.packBoolean(answer.isPresent());
        if (answer.isEmpty()) {
            return;
        }
        out.packInt(answer.get().status());
        writeList(answer.get().headers(), ClaimCodecs::writeHeader, out);
        out.packBinaryHeader(answer.get().body().length)
                .writePayload(answer.get().body());
    }

    private static Optional<Answer> readAnswer(MessageUnpacker in) throws IOException {
        if (!in.unpackBoolean()) {
            return Optional.empty();
        }
        int status = in.unpackInt();
        List<Header> headers = readList(ClaimCodecs::readHeader, in);
        int length = in.unpackBinaryHeader();
        if (length > ClaimLimits.MAX_KEPT_ANSWER_BYTES) {
            throw new IOException(
                    "answer of " + length + " bytes, expected at most " + ClaimLimits.MAX_KEPT_ANSWER_BYTES);
        }
        return Optional.of(new Answer(status, headers, in.readPayload(length)));
    }

    private static void writeHeader(Header header, MessagePacker out) throws IOException {
        out.packString(header.name()).packString(header.value());
    }

    private static Header readHeader(MessageUnpacker in) throws IOException {
        return new Header(in.unpackString(), in.unpackString());
    }

    private static <T> void writeList(List<T> list, Writer<T> writer, MessagePacker out) throws IOException {
        out.packArrayHeader(list.size());
        for (T entry : list) {
            writer.write(entry, out);
        }
    }

    private static <T> List<T> readList(Reader<T> reader, MessageUnpacker in) throws IOException {
        int size = in.unpackArrayHeader();
        if (size > MAX_LIST_ENTRIES) {
            throw new IOException("list of " + size + " entries, expected at most " + MAX_LIST_ENTRIES);
        }
        List<T> list = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            list.add(reader.read(in));
        }
        return list;
    }

    private static <E extends Enum<E>> E readEnum(E[] values, MessageUnpacker in) throws IOException {
        String name = in.unpackString();
        return Arrays.stream(values)
                .filter(value -> value.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IOException("\"" + name + "\", expected one of " + Arrays.toString(values)));
    }
}
