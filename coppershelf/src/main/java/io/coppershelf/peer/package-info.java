/**
 * Messages between the processes of the fleet: MessagePack in length-prefixed frames over TCP.
 *
 * <p>A package that exchanges messages with peers declares them as records, registers a
 * {@link io.coppershelf.peer.PeerMessageCodec} and a handler for each, and sends them through
 * {@link io.coppershelf.peer.PeerExchange}.
 */
package io.coppershelf.peer;
