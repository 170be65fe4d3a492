package io.coppershelf.cli.internal;

/**
 * The status of a backend server.
 *
 * @param server its name
 * @param dataCentre its data centre
 * @param condition its condition in lower case, such as {@code in-service}, or {@code unknown}
 * @param reason why it is in that condition
 * @param inFlight the number of its requests in flight
 * @param slots its slots, 0 if unknown
 */
public record ServerReport(String server, String dataCentre, String condition, String reason, int inFlight, int slots) {
    /** The condition of a server whose owner did not answer. */
    public static final String UNKNOWN = "unknown";

    /** Returns whether the server receives requests. */
    public boolean isInService() {
        return condition.equals("in-service") || condition.equals("suspected") || condition.equals("cold");
    }
}
