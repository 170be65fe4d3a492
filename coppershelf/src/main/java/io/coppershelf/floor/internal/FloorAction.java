package io.coppershelf.floor.internal;

/** An action that a state machine of the floor protocol returns for its caller to carry out. */
public sealed interface FloorAction {
    /** Send the message to the VM. */
    record Send(String target, FloorMessage message) implements FloorAction {}

    /** Notify the listener of the server that the grant is valid until the given time. */
    record Granted(String service, String server, long untilNanos) implements FloorAction {}

    /** Notify the listener of the server that the request was refused. */
    record Refused(String service, String server) implements FloorAction {}

    /** Notify the listener of the server that the grant ended. */
    record Revoked(String service, String server) implements FloorAction {}
}
