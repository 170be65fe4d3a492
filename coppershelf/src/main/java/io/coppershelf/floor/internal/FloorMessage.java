package io.coppershelf.floor.internal;

import io.coppershelf.peer.PeerMessage;
import java.util.List;

/** The messages of the floor's protocol; each may be lost, late or repeated. */
public sealed interface FloorMessage extends PeerMessage {
    /** Returns the service that the message concerns. */
    String service();

    /**
     * Asks a voter for its vote.
     *
     * @param incarnation the incarnation of the candidate
     * @param round grows with each round of the candidate
     * @param voters the voter set in the view of the candidate
     */
    record VoteRequest(String service, long incarnation, long round, List<String> voters) implements FloorMessage {}

    /**
     * Answers a {@link VoteRequest}.
     *
     * @param granted whether the voter gives its vote for one lease
     */
    record VoteReply(String service, long incarnation, long round, boolean granted) implements FloorMessage {}

    /**
     * Asks for the right to eject a server, or renews it.
     *
     * @param sequence grows with each request of the holder
     * @param live whether the holder's right was live when it sent this
     * @param ticket the number of the ticket that set the service, as the holder knows it
     * @param allowance the number of servers that may be out of service, as the holder knows it
     */
    record GrantRequest(String service, String server, long sequence, boolean live, long ticket, int allowance)
            implements FloorMessage {}

    /**
     * Answers a {@link GrantRequest}.
     *
     * @param verdict what became of it
     * @param granter the granter that the sender knows, empty string if none
     */
    record GrantReply(String service, String server, long sequence, GrantResult verdict, String granter)
            implements FloorMessage {}

    /**
     * Gives a right back.
     *
     * @param sequence the last request for it; the release does not touch later ones
     */
    record GrantRelease(String service, String server, long sequence) implements FloorMessage {}

    /** Ends a right early. */
    record GrantRevocation(String service, String server) implements FloorMessage {}

    /** Tells all servers of the service that the sender knows to be out of service for another reason. */
    record OutOfServiceReport(String service, List<String> servers) implements FloorMessage {}

    /** What became of a request for a right. */
    enum GrantResult {
        GRANTED,
        REFUSED,
        NOT_GRANTER
    }
}
