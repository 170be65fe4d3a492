package io.coppershelf.outcome;

/** The unchecked exception of coppershelf, which carries an {@link ErrorKind}. */
public final class CoppershelfException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;

    private CoppershelfException(ErrorKind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** Returns an exception of the given kind. */
    public static CoppershelfException of(ErrorKind kind, String message) {
        return new CoppershelfException(kind, message, null);
    }

    /** Returns an exception of the given kind with its cause. */
    public static CoppershelfException causedBy(ErrorKind kind, String message, Throwable cause) {
        return new CoppershelfException(kind, message, cause);
    }

    /** Returns the error kind. */
    public ErrorKind kind() {
        return kind;
    }
}
