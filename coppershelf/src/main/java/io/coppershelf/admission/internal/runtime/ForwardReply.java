package io.coppershelf.admission.internal.runtime;

import io.coppershelf.admission.AttemptResult;
import io.coppershelf.peer.PeerMessage;

/**
 * The result of a forwarded attempt.
 *
 * @param attemptId the attempt
 * @param result its result
 */
record ForwardReply(String attemptId, AttemptResult result) implements PeerMessage {}
