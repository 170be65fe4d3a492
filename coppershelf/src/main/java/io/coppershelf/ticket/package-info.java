/**
 * Change tickets and the configuration that results from them.
 *
 * <p>The configuration is kept per object (service, backend server, route) with the number of the ticket that set it;
 * the higher number wins, whatever the order of arrival. The removal of an object is also kept, so that a ticket with a
 * lower number can't restore it.
 */
package io.coppershelf.ticket;
