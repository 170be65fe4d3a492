package io.coppershelf.admission.internal.runtime;

import io.coppershelf.admission.AttemptRequest;
import io.coppershelf.admission.GroupName;
import io.coppershelf.component.TimeSource;
import io.coppershelf.peer.MessageFields;
import io.coppershelf.peer.PeerMessageCodec;
import java.io.IOException;
import java.time.Duration;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes {@link ForwardRequest}; reading converts the remaining time to a deadline of this VM. */
final class ForwardRequestCodec implements PeerMessageCodec<ForwardRequest> {
    private static final int TYPE_ID = 40;
    private static final Duration MAX_REMAINING = Duration.ofDays(1);

    private final TimeSource time;

    ForwardRequestCodec(TimeSource time) {
        this.time = time;
    }

    @Override
    public int typeId() {
        return TYPE_ID;
    }

    @Override
    public Class<ForwardRequest> type() {
        return ForwardRequest.class;
    }

    @Override
    public void write(ForwardRequest message, MessagePacker packer) throws IOException {
        AttemptRequest request = message.request();
        packer.packString(request.attemptId());
        packer.packString(request.group().service());
        packer.packString(request.group().dataCentre());
        packer.packString(request.route());
        packer.packString(request.method());
        packer.packString(request.target());
        WireFields.writeHeaders(packer, request.headers());
        MessageFields.writeBytes(packer, request.body());
        packer.packBoolean(request.idempotent());
        packer.packInt(request.weight());
        packer.packInt(request.largestAnswer());
        packer.packBoolean(request.hedge());
        packer.packLong(message.remainingMillis());
    }

    @Override
    public ForwardRequest read(MessageUnpacker unpacker) throws IOException {
        String attemptId = unpacker.unpackString();
        GroupName group = new GroupName(unpacker.unpackString(), unpacker.unpackString());
        String route = unpacker.unpackString();
        String method = unpacker.unpackString();
        String target = unpacker.unpackString();
        var headers = WireFields.readHeaders(unpacker);
        byte[] body = MessageFields.readBytes(unpacker);
        boolean idempotent = unpacker.unpackBoolean();
        int weight = unpacker.unpackInt();
        int largestAnswer = unpacker.unpackInt();
        boolean hedge = unpacker.unpackBoolean();
        long remainingMillis = readRemaining(unpacker);
        long deadline = time.nanos() + Duration.ofMillis(remainingMillis).toNanos();
        return new ForwardRequest(
                new AttemptRequest(
                        attemptId,
                        group,
                        route,
                        method,
                        target,
                        headers,
                        body,
                        idempotent,
                        weight,
                        largestAnswer,
                        hedge,
                        deadline),
                remainingMillis);
    }

    private static long readRemaining(MessageUnpacker unpacker) throws IOException {
        long remainingMillis = unpacker.unpackLong();
        if (remainingMillis < 1 || remainingMillis > MAX_REMAINING.toMillis()) {
            throw new IOException("expected 1 to " + MAX_REMAINING.toMillis() + " ms left but got " + remainingMillis);
        }
        return remainingMillis;
    }
}
