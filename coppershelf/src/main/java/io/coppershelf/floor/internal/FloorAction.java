package io.coppershelf.floor.internal;

/** What the floor's state machines want done. */
public sealed interface FloorAction {
    /** Send the message to the VM. */
    record Send(String target, FloorMessage message) implements FloorAction {}

    /** Tell the listener of the server that the right holds until the given time. */
    record Granted(String service, String server, long untilNanos) implements FloorAction {}

    /** Tell the listener of the server that there is no right. */
    record Refused(String service, String server) implements FloorAction {}

    /** Tell the listener of the server that the right ended early. */
    record Revoked(String service, String server) implements FloorAction {}
}
