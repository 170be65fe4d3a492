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

/** Carries out what one group wants: rights to eject, probes, evidence of other VMs, and the time line. */
final class GroupHealthActionExecutor implements HealthActionExecutor, EjectionGrants.Listener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);

    private final GroupRuntime group;
    private final GroupName name;
    private final BackendClient backend;
    private final HealthEvidenceExchange peers;
    private final EjectionGrants rights;
    private final Timeline timeline;

    GroupHealthActionExecutor(
            GroupRuntime group,
            BackendClient backend,
            HealthEvidenceExchange peers,
            EjectionGrants rights,
            Timeline timeline) {
        this.group = group;
        this.name = group.name();
        this.backend = backend;
        this.peers = peers;
        this.rights = rights;
        this.timeline = timeline;
    }

    @Override
    public void perform(GroupAction action) {
        if (action instanceof GroupAction.RequestEjection ask) {
            rights.request(name.service(), ask.server(), this);
        } else if (action instanceof GroupAction.ReleaseEjection release) {
            rights.release(name.service(), release.server());
        } else if (action instanceof GroupAction.Probe probe) {
            probe(probe.server());
        } else if (action instanceof GroupAction.QueryReachability ask) {
            peers.queryReachability(
                    name,
                    ask.server(),
                    reachable -> group.on(new GroupEvent.ReachabilityReported(ask.server(), reachable)));
        } else if (action instanceof GroupAction.ShareServiceTimes share) {
            peers.shareServiceTimes(name, share.typicalNanos());
        } else if (action instanceof GroupAction.ConditionChanged change) {
            tell(change);
        }
    }

    private void probe(String server) {
        group.server(server).ifPresent(spec -> {
            var unused = backend.probe(spec, PROBE_TIMEOUT)
                    .thenAccept(state -> group.on(new GroupEvent.ProbeEnded(server, state)));
        });
    }

    private void tell(GroupAction.ConditionChanged change) {
        if (isOut(change.from()) != isOut(change.to())) {
            rights.reportOutOfService(name.service(), change.server(), isOut(change.to()));
        }
        logger.atInfo().log("[admission] Server %s is %s: %s.", change.server(), change.to(), change.reason());
        String text = change.from() + " to " + change.to() + ": " + change.reason();
        timeline.record(
                Timeline.Event.of("health", text).ofService(name.service()).ofServer(change.server()));
    }

    /** Returns whether the server is out of service for another reason than an ejection. */
    private static boolean isOut(ServerCondition condition) {
        return condition == ServerCondition.DRAINING || condition == ServerCondition.COLD;
    }

    @Override
    public void granted(String server, long untilNanos) {
        group.on(new GroupEvent.EjectionGranted(server, untilNanos));
    }

    @Override
    public void refused(String server) {
        group.on(new GroupEvent.EjectionRefused(server));
    }

    @Override
    public void revoked(String server) {
        group.on(new GroupEvent.EjectionRevoked(server));
    }
}
