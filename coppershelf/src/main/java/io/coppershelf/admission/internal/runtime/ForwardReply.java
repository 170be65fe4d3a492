package io.coppershelf.admission.internal.runtime;

import io.coppershelf.admission.AttemptResult;
import io.coppershelf.peer.PeerMessage;

/**
 * What became of a forwarded try.
 *
 * @param attemptId the try
 * @param result how it ended
 */
record ForwardReply(String attemptId, AttemptResult result) implements PeerMessage {}
