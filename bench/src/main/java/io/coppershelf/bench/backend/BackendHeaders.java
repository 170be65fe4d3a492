package io.coppershelf.bench.backend;

/** The header names between the fleet and a backend server, and those of the load generator. */
public final class BackendHeaders {
    public static final String TRY_ID = "Coppershelf-Try-Id";
    public static final String DEADLINE_MS = "Coppershelf-Deadline-Ms";
    public static final String SERVER_STATE = "Coppershelf-Server-State";
    public static final String EXECUTION = "Coppershelf-Execution";
    /** Identifies a piece of work over all its tries; set by the load generator. */
    public static final String WORK_ID = "X-Work-Id";
    /** The service time in microseconds that a piece of work takes on a healthy server. */
    public static final String WORK_MICROS = "X-Work-Micros";
    /** The number of bytes that the answer must have. */
    public static final String ANSWER_BYTES = "X-Answer-Bytes";

    private BackendHeaders() {}
}
