package io.coppershelf.admission.internal.runtime;

import io.coppershelf.peer.PeerMessage;

/**
 * Queries a VM whether it can reach a backend server.
 *
 * @param server the name of the server
 */
record ReachabilityQuery(String server) implements PeerMessage {}
