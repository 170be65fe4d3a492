package io.coppershelf.floor.internal;

import io.coppershelf.floor.internal.FloorMessage.GrantRelease;
import io.coppershelf.floor.internal.FloorMessage.GrantRequest;
import io.coppershelf.floor.internal.FloorMessage.GrantResult;
import io.coppershelf.floor.internal.FloorMessage.OutOfServiceReport;
import java.util.List;

/** The granter of one service, or a candidate for it: issues the grants to eject its servers. */
public final class Granter {
    private final GranterLease lease = new GranterLease();
    private final GrantTable grants = new GrantTable();

    /** Returns the lease under which this VM issues grants. */
    public GranterLease lease() {
        return lease;
    }

    /**
     * Decides on a request for a grant.
     *
     * <p>During the takeover period, while grants of a former granter may be live, only grants that are live at their
     * holder are renewed; their number was within the allowance when the former granter issued them. An entry in this
     * granter's table is not sufficient in that period: the request behind it may have arrived so late that the grant
     * had expired and the former granter had issued it to another holder.
     */
    public GrantResult decide(String holder, GrantRequest request, ServiceRules rules, long nowNanos) {
        if (!lease.isHeld(nowNanos)) {
            return GrantResult.NOT_GRANTER;
        }
        if (request.ticket() > rules.ticket()) {
            return GrantResult.REFUSED;
        }
        if (lease.isTakingOver(nowNanos) && !request.live()) {
            return GrantResult.REFUSED;
        }
        int allowance = request.ticket() == rules.ticket()
                ? Math.min(request.allowance(), rules.allowance())
                : rules.allowance();
        boolean fits = grants.tryGrant(holder, request, rules.draining(), allowance, nowNanos);
        return fits ? GrantResult.GRANTED : GrantResult.REFUSED;
    }

    /** Removes a grant that its holder released. */
    public void onRelease(String holder, GrantRelease release) {
        grants.release(holder, release);
    }

    /** Records a report of servers that are out of service. */
    public void onReport(String sender, OutOfServiceReport report, long nowNanos) {
        grants.recordReport(sender, report.servers(), nowNanos);
    }

    /** Returns the grants that the rules no longer allow. */
    public List<GrantTable.Grant> excess(ServiceRules rules, long nowNanos) {
        if (!lease.isHeld(nowNanos)) {
            return List.of();
        }
        return grants.excess(rules.draining(), rules.allowance(), nowNanos);
    }

    /** Returns the number of servers that are or may be out of service. */
    public int outOfServiceCount(ServiceRules rules, long nowNanos) {
        return grants.outOfService(rules.draining(), nowNanos).size();
    }

    /** Returns whether there is neither a lease nor any grant or report. */
    public boolean isIdle(long nowNanos) {
        return !lease.isHeld(nowNanos) && grants.isEmpty(nowNanos);
    }
}
