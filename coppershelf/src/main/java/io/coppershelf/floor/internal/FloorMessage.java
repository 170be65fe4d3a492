package io.coppershelf.floor.internal;

import io.coppershelf.peer.PeerMessage;
import java.util.List;

/** The messages of the floor protocol; each may be lost, delayed or duplicated. */
public sealed interface FloorMessage extends PeerMessage {
    /** Returns the service that the message concerns. */
    String service();

    /**
     * Requests a vote for the lease of the granter.
     *
     * @param incarnation the incarnation of the candidate
     * @param round the number of the vote round, which grows with each round of the candidate
     * @param voters the voter set as the candidate sees it
     */
    record VoteRequest(String service, long incarnation, long round, List<String> voters) implements FloorMessage {}

    /**
     * The reply to a {@link VoteRequest}.
     *
     * @param granted whether the voter votes for the candidate for one lease duration
     */
    record VoteReply(String service, long incarnation, long round, boolean granted) implements FloorMessage {}

    /**
     * Requests a grant to eject a server, or its renewal.
     *
     * @param sequence the number of the request, which grows with each request of the holder
     * @param live whether the holder had a live grant for the server when it sent the request
     * @param ticket the number of the ticket that last changed the service, in the holder's configuration
     * @param allowance the number of servers that may be out of service, in the holder's configuration
     */
    record GrantRequest(String service, String server, long sequence, boolean live, long ticket, int allowance)
            implements FloorMessage {}

    /**
     * The reply to a {@link GrantRequest}.
     *
     * @param result the result of the request
     * @param granter the granter known to the sender, empty string if none
     */
    record GrantReply(String service, String server, long sequence, GrantResult result, String granter)
            implements FloorMessage {}

    /**
     * Releases a grant.
     *
     * @param sequence the number of the last request for the grant; the release has no effect on later ones
     */
    record GrantRelease(String service, String server, long sequence) implements FloorMessage {}

    /** Revokes a grant. */
    record GrantRevocation(String service, String server) implements FloorMessage {}

    /** Lists all servers of the service that the sender knows to be out of service for another reason than ejection. */
    record OutOfServiceReport(String service, List<String> servers) implements FloorMessage {}

    /** The result of a request for a grant. */
    enum GrantResult {
        GRANTED,
        REFUSED,
        NOT_GRANTER
    }
}
