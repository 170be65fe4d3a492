/**
 * Change tickets and the configuration that they add up to.
 *
 * <p>The configuration is kept per object (service, backend server, route) with the number of the ticket that set it;
 * the higher number wins, whatever the order of arrival. The removal of an object is state as well.
 */
package io.coppershelf.ticket;
