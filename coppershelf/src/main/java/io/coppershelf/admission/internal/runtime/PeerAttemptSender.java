package io.coppershelf.admission.internal.runtime;

import io.coppershelf.admission.AttemptRequest;
import io.coppershelf.admission.AttemptSender;
import io.coppershelf.component.TimeSource;
import io.coppershelf.membership.Vm;
import io.coppershelf.peer.PeerExchange;

/** Submits attempts to this VM's own groups or forwards them to their owners. */
final class PeerAttemptSender implements AttemptSender {
    private final String self;
    private final LocalGroups groups;
    private final PeerExchange peers;
    private final TimeSource time;

    PeerAttemptSender(String self, LocalGroups groups, PeerExchange peers, TimeSource time) {
        this.self = self;
        this.groups = groups;
        this.peers = peers;
        this.time = time;
    }

    @Override
    public AttemptSender.AttemptExchange send(Vm owner, AttemptRequest request) {
        if (owner.id().equals(self)) {
            return groups.submit(request);
        }
        return ForwardedAttempt.send(peers, time, owner, request);
    }
}
