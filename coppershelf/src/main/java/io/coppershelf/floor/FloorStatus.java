package io.coppershelf.floor;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coppershelf.floor.internal.FloorNode;
import io.coppershelf.operator.StatusContributor;
import java.util.List;

/** Shows the ejection grants to operators, from a snapshot that the control thread refreshes. */
final class FloorStatus implements StatusContributor {
    private volatile Snapshot snapshot = new Snapshot(List.of(), 0);

    void update(FloorNode node, long nowNanos) {
        snapshot = new Snapshot(node.granterServices(nowNanos), node.liveGrants(nowNanos));
    }

    @Override
    public void describe(ObjectNode status) {
        Snapshot now = snapshot;
        ObjectNode floor = status.putObject("floor");
        now.granterOf().forEach(floor.putArray("granterOf")::add);
        floor.put("liveRights", now.liveGrants());
    }

    private record Snapshot(List<String> granterOf, long liveGrants) {}
}
