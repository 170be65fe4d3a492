package io.coppershelf.daemon;

import io.coppershelf.admission.AdmissionPart;
import io.coppershelf.backend.BackendPart;
import io.coppershelf.kernel.Part;
import io.coppershelf.routing.RoutingPart;
import java.util.List;

/** The parts of the daemon, in the order of their start. */
final class DaemonParts {
    private DaemonParts() {}

    /** Returns all parts but the one for callers. */
    static List<Part> beforeCaller() {
        return List.of(new BackendPart(), new AdmissionPart(), new RoutingPart());
    }
}
