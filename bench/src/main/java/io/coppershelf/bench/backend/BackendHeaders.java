package io.coppershelf.bench.backend;

/** Names of the headers between the fleet and a backend server, and of those that the load generator sets. */
public final class BackendHeaders {
    public static final String ATTEMPT_ID = "Coppershelf-Try-Id";
    public static final String DEADLINE_MS = "Coppershelf-Deadline-Ms";
    public static final String SERVER_STATE = "Coppershelf-Server-State";
    public static final String EXECUTION = "Coppershelf-Execution";
    /** Identifies a work item across all its attempts; set by the load generator. */
    public static final String WORK_ID = "X-Work-Id";
    /** The service time in microseconds of a work item on a server without a fault. */
    public static final String WORK_MICROS = "X-Work-Micros";
    /** The number of bytes that the answer must have. */
    public static final String ANSWER_BYTES = "X-Answer-Bytes";

    private BackendHeaders() {}
}
