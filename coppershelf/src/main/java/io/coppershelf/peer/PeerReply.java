package io.coppershelf.peer;

/** The result of a request to a peer. */
public sealed interface PeerReply {
    /**
     * The peer replied.
     *
     * @param message the reply
     */
    record Received(PeerMessage message) implements PeerReply {}

    /** No byte of the request was sent, so the peer can't have acted on it. */
    record NotSent() implements PeerReply {}

    /** The request may have been sent, but no reply was received: it timed out or the connection was lost. */
    record Lost() implements PeerReply {}
}
