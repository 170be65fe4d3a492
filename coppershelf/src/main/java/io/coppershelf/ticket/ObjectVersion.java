package io.coppershelf.ticket;

/**
 * The state of one object together with the ticket that set it.
 *
 * <p>Versions of one object are totally ordered: the higher ticket number wins; under one number the smaller digest of
 * the ticket's content wins. Keeping the greatest version is a join: VMs that have received the same versions in any
 * order end up with the same one.
 *
 * @param ticket the number of the ticket
 * @param ticketDigest the digest of the ticket's complete content, see {@link TicketDigest}
 * @param state the state
 * @see <a href="https://inria.hal.science/inria-00555588">Shapiro et al., A comprehensive study of Convergent and
 *     Commutative Replicated Data Types, 2011</a>
 */
public record ObjectVersion(long ticket, long ticketDigest, ObjectState state) {
    /** Returns whether this version supersedes one with the given ticket number and digest. */
    public boolean supersedes(long otherTicket, long otherDigest) {
        return ticket != otherTicket ? ticket > otherTicket : ticketDigest < otherDigest;
    }

    /** Returns whether the other version has the same ticket number but comes from another content. */
    public boolean conflictsWith(long otherTicket, long otherDigest) {
        return ticket == otherTicket && ticketDigest != otherDigest;
    }
}
