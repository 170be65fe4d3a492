package io.coppershelf.cli;

/** Thrown if the command line is not valid. */
final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
