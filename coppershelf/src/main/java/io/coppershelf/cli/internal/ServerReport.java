package io.coppershelf.cli.internal;

/**
 * What is known of a backend server.
 *
 * @param server its name
 * @param dataCentre the data centre in which it stands
 * @param condition its condition in lower case, such as {@code in-service}, or {@code unknown}
 * @param reason why it is in that condition
 * @param inFlight the requests that it runs
 * @param slots its slots, 0 if unknown
 */
public record ServerReport(String server, String dataCentre, String condition, String reason, int inFlight, int slots) {
    /** The condition of a server whose owner gave no answer. */
    public static final String UNKNOWN = "unknown";

    /** Returns whether the server gets work. */
    public boolean isInService() {
        return condition.equals("in-service") || condition.equals("suspected") || condition.equals("cold");
    }
}
