/**
 * What the VMs of the fleet tell each other: who is there, evidence on servers, and what was read from the platform.
 * Messages are MessagePack in single datagrams: each is complete, supersedes earlier ones, and may be lost or repeated
 * without harm; so no connection can go silent unnoticed.
 */
package io.coppershelf.mesh;
