package io.coppershelf.admission.internal.runtime;

import io.coppershelf.admission.AttemptRequest;
import io.coppershelf.peer.PeerMessage;

/**
 * An attempt that is forwarded to the owner of its group. The message carries the remaining time instead of the
 * deadline, as the clocks of VMs differ.
 *
 * @param request the attempt; its deadline is in the monotonic time of the VM that holds the message
 * @param remainingMillis the time until the deadline when the message was written
 */
record ForwardRequest(AttemptRequest request, long remainingMillis) implements PeerMessage {}
