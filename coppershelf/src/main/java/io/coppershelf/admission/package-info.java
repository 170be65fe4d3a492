/**
 * Slots, queues and early refusal for a server group: the backend servers of one service in one data centre, which one
 * owner VM serves at a time. Pure decisions, and the part of the daemon that drives them.
 */
package io.coppershelf.admission;
