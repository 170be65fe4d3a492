package io.coppershelf.cli;

/** The words of the command line make no sense. */
final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
