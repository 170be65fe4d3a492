/** The compact form in which a VM holds the configuration, and the parts of the ticket document. */
package io.coppershelf.ticket.internal;
