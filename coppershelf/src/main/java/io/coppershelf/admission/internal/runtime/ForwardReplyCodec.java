package io.coppershelf.admission.internal.runtime;

import io.coppershelf.admission.AttemptResult;
import io.coppershelf.admission.AttemptResult.GroupLoad;
import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.peer.MessageFields;
import io.coppershelf.peer.PeerMessageCodec;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes {@link ForwardReply}. */
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
        AttemptResult result = message.result();
        packer.packString(message.attemptId());
        MessageFields.writeOptional(packer, result.answer(), ForwardReplyCodec::writeAnswer);
        MessageFields.writeOptional(packer, result.error(), (target, error) -> target.packString(error.name()));
        MessageFields.writeOptional(packer, result.retryAfter(), (target, delay) -> target.packLong(delay.toMillis()));
        MessageFields.writeOptional(packer, result.load(), ForwardReplyCodec::writeLoad);
    }

    private static void writeAnswer(MessagePacker packer, Answer answer) throws IOException {
        packer.packInt(answer.status());
        WireFields.writeHeaders(packer, answer.headers());
        MessageFields.writeBytes(packer, answer.body());
    }

    private static void writeLoad(MessagePacker packer, GroupLoad load) throws IOException {
        packer.packInt(load.freeSlots());
        packer.packLong(load.expectedWaitNanos());
    }

    @Override
    public ForwardReply read(MessageUnpacker unpacker) throws IOException {
        String attemptId = unpacker.unpackString();
        Optional<Answer> answer = MessageFields.readOptional(unpacker, ForwardReplyCodec::readAnswer);
        Optional<ErrorKind> error = MessageFields.readOptional(unpacker, WireFields::readErrorKind);
        if (answer.isPresent() == error.isPresent()) {
            throw new IOException("expected either an answer or an error kind");
        }
        Optional<Duration> retryAfter =
                MessageFields.readOptional(unpacker, source -> Duration.ofMillis(source.unpackLong()));
        Optional<GroupLoad> load =
                MessageFields.readOptional(unpacker, source -> new GroupLoad(source.unpackInt(), source.unpackLong()));
        return new ForwardReply(attemptId, new AttemptResult(answer, error, retryAfter, load));
    }

    private static Answer readAnswer(MessageUnpacker unpacker) throws IOException {
        int status = unpacker.unpackInt();
        return new Answer(status, WireFields.readHeaders(unpacker), MessageFields.readBytes(unpacker));
    }
}
