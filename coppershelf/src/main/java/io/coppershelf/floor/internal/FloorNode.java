package io.coppershelf.floor.internal;

import io.coppershelf.floor.internal.FloorAction.Send;
import io.coppershelf.floor.internal.FloorMessage.GrantRelease;
import io.coppershelf.floor.internal.FloorMessage.GrantReply;
import io.coppershelf.floor.internal.FloorMessage.GrantRequest;
import io.coppershelf.floor.internal.FloorMessage.GrantResult;
import io.coppershelf.floor.internal.FloorMessage.GrantRevocation;
import io.coppershelf.floor.internal.FloorMessage.OutOfServiceReport;
import io.coppershelf.floor.internal.FloorMessage.VoteReply;
import io.coppershelf.floor.internal.FloorMessage.VoteRequest;
import io.coppershelf.floor.internal.LeaseVoter.Candidate;
import io.coppershelf.membership.FleetView;
import io.coppershelf.ticket.Configuration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The floor protocol's state machine on one VM, which is voter, granter and holder of grants at once. Each method takes
 * an event and the time, and returns the actions to carry out.
 */
public final class FloorNode {
    private final String self;
    private final long incarnation;
    private final LeaseVoter voter;
    private final GrantHolder holder;
    private final OutOfServiceReports outOfServiceReports = new OutOfServiceReports();
    private final Map<String, Granter> granters = new TreeMap<>();
    private final Map<String, VoterSet> voterSets = new HashMap<>();
    private FleetView view;
    private Configuration configuration;
    private long lastTickNanos;

    /** Creates the state machine of a VM that starts now. */
    public FloorNode(FleetView view, Configuration configuration, long nowNanos) {
        this.view = view;
        this.configuration = configuration;
        this.self = view.self().id();
        this.incarnation = view.self().incarnation();
        this.voter = new LeaseVoter(nowNanos);
        this.holder = new GrantHolder(incarnation);
        this.lastTickNanos = nowNanos;
    }

    /** Applies a view of the fleet. */
    public void onFleet(FleetView newView, long nowNanos) {
        view = newView;
        List<String> services = List.copyOf(voterSets.keySet());
        voterSets.clear();
        for (String service : services) {
            voter.updateVoterSet(service, voters(service), nowNanos);
        }
        granters.forEach((service, granter) -> granter.lease().changeVoters(voters(service)));
    }

    /** Applies a configuration; grants beyond the new allowance end at once. */
    public List<FloorAction> onConfiguration(Configuration newConfiguration, long nowNanos) {
        configuration = newConfiguration;
        List<FloorAction> actions = new ArrayList<>(holder.onRules(this::rules, this::voters));
        granters.forEach((service, granter) -> {
            for (GrantTable.Grant grant : granter.excess(rules(service), nowNanos)) {
                actions.add(new Send(grant.holder(), new GrantRevocation(service, grant.server())));
            }
        });
        return actions;
    }

    /** Requests a grant to eject the server, or its renewal. */
    public List<FloorAction> request(String service, String server, long nowNanos) {
        return holder.request(service, server, voters(service), rules(service), nowNanos);
    }

    /** Releases the grant. */
    public List<FloorAction> release(String service, String server) {
        return holder.release(service, server, voters(service));
    }

    /** Reports whether a server is out of service for another reason than ejection. */
    public List<FloorAction> reportOutOfService(String service, String server, boolean out, long nowNanos) {
        return outOfServiceReports.change(service, server, out, voters(service), nowNanos);
    }

    /** Makes this VM a candidate for granter of the service if it is the best-ranked reachable voter. */
    public void becomeCandidateIfBestRanked(String service) {
        VoterSet voters = voters(service);
        if (voters.isLargeEnough() && isFirstReachable(voters)) {
            granter(service);
        }
    }

    /** Handles a message. */
    public List<FloorAction> onMessage(String sender, FloorMessage message, long nowNanos) {
        if (message instanceof VoteRequest request) {
            return onVoteRequest(sender, request, nowNanos);
        }
        if (message instanceof VoteReply reply) {
            onVoteReply(sender, reply, nowNanos);
            return List.of();
        }
        if (message instanceof GrantRequest request) {
            return onGrantRequest(sender, request, nowNanos);
        }
        if (message instanceof GrantReply reply) {
            return holder.onReply(sender, reply, nowNanos);
        }
        if (message instanceof GrantRevocation revocation) {
            return holder.onRevoked(revocation.service(), revocation.server(), voters(revocation.service()));
        }
        if (message instanceof GrantRelease release) {
            granter(release.service()).onRelease(sender, release);
            return List.of();
        }
        OutOfServiceReport report = (OutOfServiceReport) message;
        granter(report.service()).onReport(sender, report, nowNanos);
        return List.of();
    }

    /** Handles timeouts and renewals; must be called at least every 500 ms. */
    public List<FloorAction> onTick(long nowNanos) {
        if (nowNanos - lastTickNanos >= FloorTiming.PAUSE_THRESHOLD.toNanos()) {
            voter.abstain(nowNanos);
            granters.values().forEach(granter -> granter.lease().reset());
        }
        lastTickNanos = nowNanos;
        List<FloorAction> actions = new ArrayList<>(holder.onTick(this::voters, nowNanos));
        actions.addAll(outOfServiceReports.onTick(this::voters, nowNanos));
        granters.forEach((service, granter) -> actions.addAll(startVoteRound(service, granter, nowNanos)));
        granters.entrySet().removeIf(entry -> isDisposable(entry.getKey(), entry.getValue(), nowNanos));
        return actions;
    }

    /** Returns whether this VM has a live grant to eject the server. */
    public boolean isGrantLive(String service, String server, long nowNanos) {
        return holder.isLive(service, server, nowNanos);
    }

    /** Returns whether this VM is the granter of the service and may issue new grants. */
    public boolean isGranting(String service, long nowNanos) {
        Granter granter = granters.get(service);
        return granter != null
                && granter.lease().isHeld(nowNanos)
                && !granter.lease().isTakingOver(nowNanos);
    }

    /** Returns the services of which this VM is the granter. */
    public List<String> granterServices(long nowNanos) {
        return granters.entrySet().stream()
                .filter(entry -> entry.getValue().lease().isHeld(nowNanos))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the number of live grants that this VM holds. */
    public long liveGrants(long nowNanos) {
        return holder.liveGrants(nowNanos);
    }

    private List<FloorAction> onVoteRequest(String sender, VoteRequest request, long nowNanos) {
        String service = request.service();
        boolean granted = voter.vote(
                service,
                voters(service),
                new VoterSet(request.voters()),
                new Candidate(sender, request.incarnation()),
                nowNanos);
        return List.of(new Send(sender, new VoteReply(service, request.incarnation(), request.round(), granted)));
    }

    private void onVoteReply(String sender, VoteReply reply, long nowNanos) {
        Granter granter = granters.get(reply.service());
        if (granter == null || !reply.granted() || reply.incarnation() != incarnation) {
            return;
        }
        granter.lease().onVote(sender, reply.round(), nowNanos);
    }

    private List<FloorAction> onGrantRequest(String sender, GrantRequest request, long nowNanos) {
        String service = request.service();
        becomeCandidateIfBestRanked(service);
        Granter granter = granters.get(service);
        GrantResult result =
                granter == null ? GrantResult.NOT_GRANTER : granter.decide(sender, request, rules(service), nowNanos);
        String knownGranter = voter.votedFor(service, nowNanos).orElse("");
        return List.of(
                new Send(sender, new GrantReply(service, request.server(), request.sequence(), result, knownGranter)));
    }

    private List<FloorAction> startVoteRound(String service, Granter granter, long nowNanos) {
        GranterLease lease = granter.lease();
        VoterSet voters = voters(service);
        lease.changeVoters(voters);
        boolean isCandidate = lease.isHeld(nowNanos) || isFirstReachable(voters);
        if (!isCandidate || !voters.contains(self) || !lease.isRoundDue(nowNanos)) {
            return List.of();
        }
        long round = lease.startRound(nowNanos);
        VoteRequest request = new VoteRequest(service, incarnation, round, voters.ids());
        return voters.ids().stream()
                .<FloorAction>map(target -> new Send(target, request))
                .toList();
    }

    private boolean isDisposable(String service, Granter granter, long nowNanos) {
        return granter.isIdle(nowNanos) && !isFirstReachable(voters(service));
    }

    private boolean isFirstReachable(VoterSet voters) {
        return voters.ids().stream()
                .filter(id -> id.equals(self) || view.isReachable(id))
                .findFirst()
                .filter(self::equals)
                .isPresent();
    }

    private Granter granter(String service) {
        return granters.computeIfAbsent(service, name -> {
            Granter granter = new Granter();
            granter.lease().changeVoters(voters(name));
            return granter;
        });
    }

    private VoterSet voters(String service) {
        return voterSets.computeIfAbsent(service, name -> VoterSet.of(view, name));
    }

    private ServiceRules rules(String service) {
        return ServiceRules.of(configuration, service);
    }
}
