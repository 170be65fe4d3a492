package io.coppershelf.admission.internal.runtime;

import io.coppershelf.peer.PeerMessage;

/**
 * The sender of a forwarded try gave it up; the reply to the try itself tells what became of it.
 *
 * @param attemptId the try
 */
record ForwardCancel(String attemptId) implements PeerMessage {}
