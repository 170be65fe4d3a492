package io.coppershelf.admission.internal.runtime;

import io.coppershelf.admission.TryResult;
import io.coppershelf.admission.TryResult.GroupLoad;
import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.peer.PeerMessageCodec;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes {@link ForwardReply}; an absent field is nil. */
final class ForwardReplyCodec implements PeerMessageCodec<ForwardReply> {
    private static final int TYPE_ID = 41;

    @Override
    public int typeId() {
        return TYPE_ID;
    }

    @Override
    public Class<ForwardReply> type() {
        return ForwardReply.class;
    }

    @Override
    public void write(ForwardReply message, MessagePacker packer) throws IOException {
        TryResult result = message.result();
        packer.packString(message.tryId());
        writeAnswer(result.answer(), packer);
        if (result.error().isPresent()) {
            packer.packString(result.error().get().name());
        } else {
            packer.packNil();
        }
        if (result.retryAfter().isPresent()) {
            packer.packLong(result.retryAfter().get().toMillis());
        } else {
            packer.packNil();
        }
        writeLoad(result.load(), packer);
    }

    private static void writeAnswer(Optional<Answer> answer, MessagePacker packer) throws IOException {
        if (answer.isEmpty()) {
            packer.packNil();
            return;
        }
        packer.packInt(answer.get().status());
        WireFields.writeHeaders(answer.get().headers(), packer);
        WireFields.writeBytes(answer.get().body(), packer);
    }

    private static void writeLoad(Optional<GroupLoad> load, MessagePacker packer) throws IOException {
        if (load.isEmpty()) {
            packer.packNil();
            return;
        }
        packer.packInt(load.get().freeSlots());
        packer.packLong(load.get().expectedWaitNanos());
    }

    @Override
    public ForwardReply read(MessageUnpacker unpacker) throws IOException {
        String tryId = unpacker.unpackString();
        Optional<Answer> answer = readAnswer(unpacker);
        Optional<ErrorKind> error =
                unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(WireFields.readKind(unpacker));
        if (answer.isPresent() == error.isPresent()) {
            throw new IOException("expected either an answer or an error kind");
        }
        Optional<Duration> retryAfter =
                unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(Duration.ofMillis(unpacker.unpackLong()));
        return new ForwardReply(tryId, new TryResult(answer, error, retryAfter, readLoad(unpacker)));
    }

    private static Optional<Answer> readAnswer(MessageUnpacker unpacker) throws IOException {
        if (unpacker.tryUnpackNil()) {
            return Optional.empty();
        }
        int status = unpacker.unpackInt();
        return Optional.of(new Answer(status, WireFields.readHeaders(unpacker), WireFields.readBytes(unpacker)));
    }

    private static Optional<GroupLoad> readLoad(MessageUnpacker unpacker) throws IOException {
        if (unpacker.tryUnpackNil()) {
            return Optional.empty();
        }
        return Optional.of(new GroupLoad(unpacker.unpackInt(), unpacker.unpackLong()));
    }
}
