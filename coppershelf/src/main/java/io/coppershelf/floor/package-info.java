/**
 * The right to eject a backend server, bounded over the whole fleet by the floor of its service and by time. Pure
 * decisions, and the part of the daemon that drives them.
 */
package io.coppershelf.floor;
