/** The compact in-memory form of the configuration, and the checks and codecs of ticket documents. */
package io.coppershelf.ticket.internal;
