package io.coppershelf.admission.internal.runtime;

import io.coppershelf.peer.PeerMessage;

/**
 * The sender of a forwarded attempt cancelled it; the reply to the attempt itself carries its result.
 *
 * @param attemptId the attempt
 */
record ForwardCancel(String attemptId) implements PeerMessage {}
