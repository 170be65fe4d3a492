package io.coppershelf.ticket.internal.spread;

/**
 * The identity of a ticket's content.
 *
 * @param number the number of the ticket
 * @param digest the digest of its content; two contents under one number have different ones
 */
record TicketKey(long number, long digest) {}
