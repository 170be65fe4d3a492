package io.coppershelf.http;

import io.netty.buffer.ByteBuf;

/** A part of an answer, in the order head, any number of contents, end. */
sealed interface AnswerPart {
    /** The complete head. */
    record Head(AnswerHead head) implements AnswerPart {}

    /** Bytes of the body; a view of the bytes that were read, valid until they are released. */
    record Content(ByteBuf bytes) implements AnswerPart {}

    /** The end of the answer, which is complete. */
    record End() implements AnswerPart {}
}
