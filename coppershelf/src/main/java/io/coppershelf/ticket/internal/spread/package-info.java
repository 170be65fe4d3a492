/**
 * The spread of tickets over the fleet: few VMs watch the platform, rumours carry each ticket to the others, and repair
 * by digests brings what was missed.
 */
package io.coppershelf.ticket.internal.spread;
