/**
 * The messages between the VMs of the fleet: membership, observations of servers, and changes read from the platform.
 * Messages are MessagePack in single datagrams: each is complete, supersedes earlier ones, and may be lost or repeated
 * without harm. There is no connection that could fail silently.
 */
package io.coppershelf.mesh;
