package io.coppershelf.admission.internal.runtime;

import io.coppershelf.admission.AttemptRequest;
import io.coppershelf.peer.PeerMessage;

/**
 * A try on its way to the owner of its group; the time that is left goes over the wire, as clocks differ.
 *
 * @param request the try; its deadline is in the time of the VM that holds the message
 * @param remainingMillis the time left when the message was written
 */
record ForwardRequest(AttemptRequest request, long remainingMillis) implements PeerMessage {}
