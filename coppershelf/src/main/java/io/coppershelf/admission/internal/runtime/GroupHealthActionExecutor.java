package io.coppershelf.admission.internal.runtime;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.admission.GroupAction;
import io.coppershelf.admission.GroupEvent;
import io.coppershelf.admission.GroupName;
import io.coppershelf.backend.BackendClient;
import io.coppershelf.floor.EjectionGrants;
import io.coppershelf.health.ServerCondition;
import io.coppershelf.operator.Timeline;
import java.time.Duration;

/** Performs the health actions of one group: ejection grants, probes, evidence of other VMs and the time line. */
final class GroupHealthActionExecutor implements HealthActionExecutor, EjectionGrants.Listener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);

    private final GroupRuntime group;
    private final GroupName name;
    private final BackendClient backend;
    private final HealthEvidenceExchange evidenceExchange;
    private final EjectionGrants grants;
    private final Timeline timeline;

    GroupHealthActionExecutor(
            GroupRuntime group,
            BackendClient backend,
            HealthEvidenceExchange evidenceExchange,
            EjectionGrants grants,
            Timeline timeline) {
        this.group = group;
        this.name = group.name();
        this.backend = backend;
        this.evidenceExchange = evidenceExchange;
        this.grants = grants;
        this.timeline = timeline;
    }

    @Override
    public void perform(GroupAction action) {
        if (action instanceof GroupAction.RequestGrant request) {
            grants.request(name.service(), request.server(), this);
        } else if (action instanceof GroupAction.ReleaseGrant release) {
            grants.release(name.service(), release.server());
        } else if (action instanceof GroupAction.Probe probe) {
            probe(probe.server());
        } else if (action instanceof GroupAction.QueryReachability query) {
            evidenceExchange.queryReachability(
                    name,
                    query.server(),
                    reachable -> group.on(new GroupEvent.ReachabilityReported(query.server(), reachable)));
        } else if (action instanceof GroupAction.ShareServiceTimes share) {
            evidenceExchange.shareServiceTimes(name, share.typicalNanos());
        } else if (action instanceof GroupAction.ConditionChanged change) {
            recordChange(change);
        }
    }

    private void probe(String server) {
        group.server(server).ifPresent(spec -> {
            var unused = backend.probe(spec, PROBE_TIMEOUT)
                    .thenAccept(state -> group.on(new GroupEvent.ProbeEnded(server, state)));
        });
    }

    private void recordChange(GroupAction.ConditionChanged change) {
        if (isOutOfService(change.from()) != isOutOfService(change.to())) {
            grants.reportOutOfService(name.service(), change.server(), isOutOfService(change.to()));
        }
        logger.atInfo().log("[admission] Server %s is %s: %s.", change.server(), change.to(), change.reason());
        String text = change.from() + " to " + change.to() + ": " + change.reason();
        timeline.record(
                Timeline.Event.of("health", text).ofService(name.service()).ofServer(change.server()));
    }

    /** Returns whether the server is out of service for another reason than an ejection. */
    private static boolean isOutOfService(ServerCondition condition) {
        return condition == ServerCondition.DRAINING || condition == ServerCondition.COLD;
    }

    @Override
    public void granted(String server, long untilNanos) {
        group.on(new GroupEvent.GrantReceived(server, untilNanos));
    }

    @Override
    public void refused(String server) {
        group.on(new GroupEvent.GrantRefused(server));
    }

    @Override
    public void revoked(String server) {
        group.on(new GroupEvent.GrantRevoked(server));
    }
}
