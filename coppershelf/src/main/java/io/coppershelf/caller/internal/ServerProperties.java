package io.coppershelf.caller.internal;

/** The system properties that the JDK's HTTP server reads when its classes are loaded. */
public final class ServerProperties {
    /** The time limit for receiving a complete request, in seconds. */
    static final int REQUEST_TIMEOUT_SECONDS = 10;

    /** The time limit for creating and sending an answer, in seconds. */
    private static final int ANSWER_TIMEOUT_SECONDS = 600;

    private static final int IDLE_TIMEOUT_SECONDS = 60;
    private static final int MAX_IDLE_CONNECTIONS = 4_096;
    private static final int HARD_HEAD_LIMIT_BYTES = 256 * 1024;

    private ServerProperties() {}

    /** Sets the properties. */
    public static void apply() {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxReqTime", Integer.toString(REQUEST_TIMEOUT_SECONDS));
        System.setProperty("sun.net.httpserver.maxRspTime", Integer.toString(ANSWER_TIMEOUT_SECONDS));
        System.setProperty("sun.net.httpserver.idleInterval", Integer.toString(IDLE_TIMEOUT_SECONDS));
        System.setProperty("sun.net.httpserver.maxIdleConnections", Integer.toString(MAX_IDLE_CONNECTIONS));
        System.setProperty("sun.net.httpserver.maxReqHeaderSize", Integer.toString(HARD_HEAD_LIMIT_BYTES));
    }
}
