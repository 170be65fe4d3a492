/** Takes a request from receipt to answer: route, deadline, claim, choice of the owner, forward, retry. */
package io.coppershelf.routing;
