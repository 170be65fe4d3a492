/**
 * The spread of tickets over the fleet: a few VMs watch the platform, rumor mongering brings each ticket to the others,
 * and repair by digests delivers what was missed.
 */
package io.coppershelf.ticket.internal.spread;
