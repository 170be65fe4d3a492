package io.coppershelf.admission.internal.runtime;

import io.coppershelf.peer.PeerMessage;

/**
 * Reports whether a VM can reach a backend server.
 *
 * @param server the name of the server
 * @param reachable whether the server answered a probe
 */
record ReachabilityReply(String server, boolean reachable) implements PeerMessage {}
