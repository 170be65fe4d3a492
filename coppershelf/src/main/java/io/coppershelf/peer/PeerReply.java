package io.coppershelf.peer;

/** How a request to a peer ended. */
public sealed interface PeerReply {
    /**
     * The peer replied.
     *
     * @param message the reply
     */
    record Received(PeerMessage message) implements PeerReply {}

    /** No byte of the request left this VM, so the peer can't have acted on it. */
    record NotSent() implements PeerReply {}

    /** The request may have left, but no reply came: timeout or loss of the connection. */
    record Lost() implements PeerReply {}
}
