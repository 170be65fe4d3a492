package io.coppershelf.daemon;

import io.coppershelf.admission.AdmissionPart;
import io.coppershelf.backend.BackendPart;
import io.coppershelf.claim.ClaimPart;
import io.coppershelf.floor.FloorPart;
import io.coppershelf.kernel.Part;
import io.coppershelf.membership.MembershipPart;
import io.coppershelf.operator.OperatorPart;
import io.coppershelf.peer.PeerPart;
import io.coppershelf.platform.PlatformPart;
import io.coppershelf.routing.RoutingPart;
import io.coppershelf.ticket.TicketPart;
import java.util.List;

/** The parts of the daemon, in the order of their start. */
final class DaemonParts {
    private DaemonParts() {}

    /** Returns all parts but the one for callers. */
    static List<Part> beforeCaller() {
        return List.of(
                new OperatorPart(),
                new PlatformPart(),
                new MembershipPart(),
                new PeerPart(),
                new TicketPart(),
                new FloorPart(),
                new ClaimPart(),
                new BackendPart(),
                new AdmissionPart(),
                new RoutingPart());
    }
}
