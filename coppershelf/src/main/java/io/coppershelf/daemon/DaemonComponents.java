package io.coppershelf.daemon;

import io.coppershelf.admission.AdmissionComponent;
import io.coppershelf.backend.BackendComponent;
import io.coppershelf.claim.ClaimComponent;
import io.coppershelf.component.Component;
import io.coppershelf.floor.FloorComponent;
import io.coppershelf.membership.MembershipComponent;
import io.coppershelf.operator.OperatorComponent;
import io.coppershelf.peer.PeerComponent;
import io.coppershelf.platform.PlatformComponent;
import io.coppershelf.routing.RoutingComponent;
import io.coppershelf.ticket.TicketComponent;
import java.util.List;

/** The components of the daemon, in the order of their start. */
final class DaemonComponents {
    private DaemonComponents() {}

    /** Returns all components except the one for callers. */
    static List<Component> beforeCaller() {
        return List.of(
                new OperatorComponent(),
                new PlatformComponent(),
                new MembershipComponent(),
                new PeerComponent(),
                new TicketComponent(),
                new FloorComponent(),
                new ClaimComponent(),
                new BackendComponent(),
                new AdmissionComponent(),
                new RoutingComponent());
    }
}
