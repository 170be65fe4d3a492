/**
 * Serves requests from receipt to answer: route, deadline, claim, selection of the server group, forwarding and
 * retries.
 */
package io.coppershelf.routing;
