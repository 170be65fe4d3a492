package io.coppershelf.admission.internal.runtime;

import io.coppershelf.admission.GroupOwners;
import io.coppershelf.admission.TryRequest;
import io.coppershelf.kernel.TimeSource;
import io.coppershelf.membership.Vm;
import io.coppershelf.peer.PeerExchange;

/** Hands tries to this VM's own groups or forwards them to their owners. */
final class PeerGroupOwners implements GroupOwners {
    private final String self;
    private final LocalGroups groups;
    private final PeerExchange peers;
    private final TimeSource time;

    PeerGroupOwners(String self, LocalGroups groups, PeerExchange peers, TimeSource time) {
        this.self = self;
        this.groups = groups;
        this.peers = peers;
        this.time = time;
    }

    @Override
    public TryExchange send(Vm owner, TryRequest request) {
        if (owner.id().equals(self)) {
            return groups.submit(request);
        }
        return ForwardedTry.send(peers, time, owner, request);
    }
}
