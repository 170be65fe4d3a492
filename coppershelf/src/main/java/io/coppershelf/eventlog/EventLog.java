package io.coppershelf.eventlog;

import java.util.Map;

/** The structured log. Writing to it never blocks. */
@FunctionalInterface
public interface EventLog {
    /** A log that discards all lines. */
    EventLog NONE = (importance, event, fields) -> {};

    /** The importance of a line, which decides which lines are dropped first. */
    enum Importance {
        /** The normal course of requests; dropped first. */
        ROUTINE,
        /** Failures, and changes of the state of this process. */
        IMPORTANT
    }

    /**
     * Writes a line.
     *
     * @param event the name of the event, such as {@code request-failed}
     * @param fields the values behind the event, in order; text, numbers and booleans
     */
    void write(Importance importance, String event, Map<String, Object> fields);

    /** Writes a line about the normal course of a request. */
    default void routine(String event, Map<String, Object> fields) {
        write(Importance.ROUTINE, event, fields);
    }

    /** Writes a line about a failure or a state change. */
    default void important(String event, Map<String, Object> fields) {
        write(Importance.IMPORTANT, event, fields);
    }
}
