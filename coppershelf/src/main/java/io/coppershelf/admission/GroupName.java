package io.coppershelf.admission;

import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import java.util.List;

/**
 * The name of a server group: the backend servers of one service in one data centre.
 *
 * @param service the service
 * @param dataCentre the data centre
 */
public record GroupName(String service, String dataCentre) {
    /**
     * The number of VMs that may serve a group: its owner, and the candidates that replace it when it can't be reached.
     */
    public static final int OWNER_CANDIDATES = 3;

    /** Returns the VMs that may serve the group, the owner first. */
    public List<Vm> owners(FleetView view) {
        return view.ranked("group/" + service + "/" + dataCentre, dataCentre, OWNER_CANDIDATES);
    }
}
