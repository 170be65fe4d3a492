/**
 * Messages between the processes of the fleet: MessagePack in length-prefixed frames over TCP.
 *
 * <p>A package that talks to its peers declares its messages as records, registers a
 * {@link io.coppershelf.peer.PeerMessageCodec} for each and a handler, and sends through
 * {@link io.coppershelf.peer.PeerExchange}.
 */
package io.coppershelf.peer;
