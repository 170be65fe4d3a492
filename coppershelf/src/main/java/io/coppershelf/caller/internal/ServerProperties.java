package io.coppershelf.caller.internal;

/** The properties that the JDK's server reads when its classes load. */
public final class ServerProperties {
    /** The time within which a request must have arrived whole, in seconds. */
    static final int REQUEST_SECONDS = 10;

    /** The time within which an answer must have been made and taken, in seconds. */
    private static final int RESPONSE_SECONDS = 600;

    private static final int IDLE_SECONDS = 60;
    private static final int IDLE_CONNECTIONS = 4_096;
    private static final int HARD_HEAD_LIMIT_BYTES = 256 * 1024;

    private ServerProperties() {}

    /** Sets the properties. */
    public static void apply() {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxReqTime", Integer.toString(REQUEST_SECONDS));
        System.setProperty("sun.net.httpserver.maxRspTime", Integer.toString(RESPONSE_SECONDS));
        System.setProperty("sun.net.httpserver.idleInterval", Integer.toString(IDLE_SECONDS));
        System.setProperty("sun.net.httpserver.maxIdleConnections", Integer.toString(IDLE_CONNECTIONS));
        System.setProperty("sun.net.httpserver.maxReqHeaderSize", Integer.toString(HARD_HEAD_LIMIT_BYTES));
    }
}
