package io.coppershelf.floor.internal;

import io.coppershelf.floor.internal.FloorMessage.GrantRelease;
import io.coppershelf.floor.internal.FloorMessage.GrantRequest;
import io.coppershelf.floor.internal.FloorMessage.GrantResult;
import io.coppershelf.floor.internal.FloorMessage.OutOfServiceReport;
import java.util.List;

/** One VM as granter, or as one that may become it, of the rights of one service. */
public final class Granter {
    private final GranterLease lease = new GranterLease();
    private final GrantTable ledger = new GrantTable();

    /** Returns the lease under which rights are granted. */
    public GranterLease lease() {
        return lease;
    }

    /**
     * Decides on a request for a right.
     *
     * <p>While rights of a former granter may be live only live rights are renewed; their number was within the
     * allowance when the former granter gave them. That this granter counts a right is not enough then: the request
     * that it was counted for may have come so late that the right had lapsed and the former granter had given it to
     * another holder.
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
        boolean fits = ledger.tryGrant(holder, request, rules.draining(), allowance, nowNanos);
        return fits ? GrantResult.GRANTED : GrantResult.REFUSED;
    }

    /** Stops counting a right that its holder gave back. */
    public void onRelease(String holder, GrantRelease release) {
        ledger.release(holder, release);
    }

    /** Takes in a report of servers that are out of service. */
    public void onReport(String sender, OutOfServiceReport report, long nowNanos) {
        ledger.recordReport(sender, report.servers(), nowNanos);
    }

    /** Returns the rights that the rules no longer allow. */
    public List<GrantTable.Grant> excess(ServiceRules rules, long nowNanos) {
        if (!lease.isHeld(nowNanos)) {
            return List.of();
        }
        return ledger.excess(rules.draining(), rules.allowance(), nowNanos);
    }

    /** Returns the number of servers that this VM counts as out of service. */
    public int outOfServiceCount(ServiceRules rules, long nowNanos) {
        return ledger.outOfService(rules.draining(), nowNanos).size();
    }

    /** Returns whether this VM has nothing to remember for the service. */
    public boolean isIdle(long nowNanos) {
        return !lease.isHeld(nowNanos) && ledger.isEmpty(nowNanos);
    }
}
