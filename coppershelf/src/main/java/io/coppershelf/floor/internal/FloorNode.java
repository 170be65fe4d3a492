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
 * All of one VM's part in the floor's protocol as one state machine: voter, granter and holder. Events and the time in,
 * actions out.
 */
public final class FloorNode {
    private final String self;
    private final long incarnation;
    private final LeaseVoter voter;
    private final GrantHolder holder;
    private final OutOfServiceReports outReports = new OutOfServiceReports();
    private final Map<String, Granter> granters = new TreeMap<>();
    private final Map<String, VoterSet> voterSets = new HashMap<>();
    private FleetView view;
    private Configuration configuration;
    private long lastTickNanos;

    /** Returns the state machine of a VM that starts now. */
    public FloorNode(FleetView view, Configuration configuration, long nowNanos) {
        this.view = view;
        this.configuration = configuration;
        this.self = view.self().id();
        this.incarnation = view.self().incarnation();
        this.voter = new LeaseVoter(nowNanos);
        this.holder = new GrantHolder(incarnation);
        this.lastTickNanos = nowNanos;
    }

    /** Takes over a view of the fleet. */
    public void onFleet(FleetView now, long nowNanos) {
        view = now;
        List<String> known = List.copyOf(voterSets.keySet());
        voterSets.clear();
        for (String service : known) {
            voter.updateVoterSet(service, voters(service), nowNanos);
        }
        granters.forEach((service, granter) -> granter.lease().changeVoters(voters(service)));
    }

    /** Takes over a configuration: rights beyond the new allowance end at once. */
    public List<FloorAction> onConfiguration(Configuration now, long nowNanos) {
        configuration = now;
        List<FloorAction> actions = new ArrayList<>(holder.onRules(this::rules, this::voters));
        granters.forEach((service, granter) -> {
            for (GrantTable.Grant grant : granter.excess(rules(service), nowNanos)) {
                actions.add(new Send(grant.holder(), new GrantRevocation(service, grant.server())));
            }
        });
        return actions;
    }

    /** Asks for the right to eject the server, or renews it. */
    public List<FloorAction> request(String service, String server, long nowNanos) {
        return holder.request(service, server, voters(service), rules(service), nowNanos);
    }

    /** Gives the right back. */
    public List<FloorAction> release(String service, String server) {
        return holder.release(service, server, voters(service));
    }

    /** Tells that a server is out of service for another reason than ejection. */
    public List<FloorAction> reportOutOfService(String service, String server, boolean out, long nowNanos) {
        return outReports.change(service, server, out, voters(service), nowNanos);
    }

    /** Makes this VM a candidate for granter of the service, if it is the best-ranked voter that answers. */
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
            return onRightRequest(sender, request, nowNanos);
        }
        if (message instanceof GrantReply reply) {
            return holder.onReply(sender, reply, nowNanos);
        }
        if (message instanceof GrantRevocation revoked) {
            return holder.onRevoked(revoked.service(), revoked.server(), voters(revoked.service()));
        }
        if (message instanceof GrantRelease release) {
            granter(release.service()).onRelease(sender, release);
            return List.of();
        }
        OutOfServiceReport report = (OutOfServiceReport) message;
        granter(report.service()).onReport(sender, report, nowNanos);
        return List.of();
    }

    /** Lets time pass; due at least every 500 ms. */
    public List<FloorAction> onTick(long nowNanos) {
        if (nowNanos - lastTickNanos >= FloorTiming.PAUSE_LIMIT.toNanos()) {
            voter.abstain(nowNanos);
            granters.values().forEach(granter -> granter.lease().drop());
        }
        lastTickNanos = nowNanos;
        List<FloorAction> actions = new ArrayList<>(holder.onTick(this::voters, nowNanos));
        actions.addAll(outReports.onTick(this::voters, nowNanos));
        granters.forEach((service, granter) -> actions.addAll(voteRound(service, granter, nowNanos)));
        granters.entrySet().removeIf(entry -> isForgettable(entry.getKey(), entry.getValue(), nowNanos));
        return actions;
    }

    /** Returns whether the right of this VM to eject the server is live. */
    public boolean isGrantLive(String service, String server, long nowNanos) {
        return holder.isLive(service, server, nowNanos);
    }

    /** Returns whether this VM is the granter of the service and may grant new rights. */
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

    /** Returns the number of live rights of this VM. */
    public long liveGrants(long nowNanos) {
        return holder.liveGrants(nowNanos);
    }

    private List<FloorAction> onVoteRequest(String sender, VoteRequest request, long nowNanos) {
        String service = request.service();
        boolean given = voter.vote(
                service,
                voters(service),
                new VoterSet(request.voters()),
                new Candidate(sender, request.incarnation()),
                nowNanos);
        return List.of(new Send(sender, new VoteReply(service, request.incarnation(), request.round(), given)));
    }

    private void onVoteReply(String sender, VoteReply reply, long nowNanos) {
        Granter granter = granters.get(reply.service());
        if (granter == null || !reply.granted() || reply.incarnation() != incarnation) {
            return;
        }
        granter.lease().onVote(sender, reply.round(), nowNanos);
    }

    private List<FloorAction> onRightRequest(String sender, GrantRequest request, long nowNanos) {
        String service = request.service();
        becomeCandidateIfBestRanked(service);
        Granter granter = granters.get(service);
        GrantResult verdict =
                granter == null ? GrantResult.NOT_GRANTER : granter.decide(sender, request, rules(service), nowNanos);
        String known = voter.votedFor(service, nowNanos).orElse("");
        return List.of(new Send(sender, new GrantReply(service, request.server(), request.sequence(), verdict, known)));
    }

    private List<FloorAction> voteRound(String service, Granter granter, long nowNanos) {
        GranterLease lease = granter.lease();
        VoterSet voters = voters(service);
        lease.changeVoters(voters);
        boolean standing = lease.isHeld(nowNanos) || isFirstReachable(voters);
        if (!standing || !voters.contains(self) || !lease.isRoundDue(nowNanos)) {
            return List.of();
        }
        long round = lease.startRound(nowNanos);
        VoteRequest request = new VoteRequest(service, incarnation, round, voters.ids());
        return voters.ids().stream()
                .<FloorAction>map(target -> new Send(target, request))
                .toList();
    }

    private boolean isForgettable(String service, Granter granter, long nowNanos) {
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
