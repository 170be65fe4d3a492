/** Frames, connections and the selector thread behind {@link io.coppershelf.peer.PeerExchange}. */
package io.coppershelf.peer.internal;
