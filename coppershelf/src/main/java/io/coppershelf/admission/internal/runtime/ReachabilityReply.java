package io.coppershelf.admission.internal.runtime;

import io.coppershelf.peer.PeerMessage;

/**
 * Tells whether a VM could reach a backend server.
 *
 * @param server the name of the server
 * @param reachable whether the server answered a probe
 */
record ReachabilityReply(String server, boolean reachable) implements PeerMessage {}
