package io.coppershelf.cli;

/** The exit codes of the commands. */
final class ExitCode {
    /** The command succeeded. */
    static final int OK = 0;
    /** The command failed. */
    static final int FAILED = 1;
    /** The command line is not valid. */
    static final int USAGE = 2;
    /** A file is not valid. */
    static final int INVALID_FILE = 3;
    /** A daemon can't be reached. */
    static final int NOT_REACHABLE = 4;

    private ExitCode() {}
}
