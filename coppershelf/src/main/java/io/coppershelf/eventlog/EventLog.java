package io.coppershelf.eventlog;

import java.util.Map;

/** Takes the lines of the structured log. Never blocks. */
@FunctionalInterface
public interface EventLog {
    /** A log that keeps nothing. */
    EventLog NONE = (importance, event, fields) -> {};

    /** Which lines are dropped first. */
    enum Importance {
        /** Dropped first: the normal course of requests. */
        ROUTINE,
        /** Failures, and changes of what this process believes. */
        IMPORTANT
    }

    /**
     * Writes a line.
     *
     * @param event the name of the event, such as {@code request-failed}
     * @param fields what decided it, in order; text, numbers and booleans
     */
    void write(Importance importance, String event, Map<String, Object> fields);

    /** Writes a line about the normal course of a request. */
    default void routine(String event, Map<String, Object> fields) {
        write(Importance.ROUTINE, event, fields);
    }

    /** Writes a line about a failure or a changed belief. */
    default void important(String event, Map<String, Object> fields) {
        write(Importance.IMPORTANT, event, fields);
    }
}
