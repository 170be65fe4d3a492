package io.coppershelf.http;

/** Thrown for bytes that are not an answer in HTTP/1.1. */
final class InvalidAnswerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a stack trace, since a faulty server may cause many. */
    InvalidAnswerException(String reason) {
        super(reason, null, false, false);
    }
}
