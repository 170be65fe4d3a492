package io.coppershelf.floor.internal;

import io.coppershelf.floor.internal.FloorAction.Granted;
import io.coppershelf.floor.internal.FloorAction.Refused;
import io.coppershelf.floor.internal.FloorAction.Revoked;
import io.coppershelf.floor.internal.FloorAction.Send;
import io.coppershelf.floor.internal.FloorMessage.GrantRelease;
import io.coppershelf.floor.internal.FloorMessage.GrantReply;
import io.coppershelf.floor.internal.FloorMessage.GrantRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Stream;

/** The grants that one VM holds and requests, over all services. */
public final class GrantHolder {
    private final Map<Key, HeldGrant> grants = new TreeMap<>();
    private final Map<String, String> granters = new HashMap<>();
    private final Map<String, ServiceRules> rules = new HashMap<>();
    private long lastSequence;

    /**
     * Creates a holder without grants.
     *
     * @param incarnation the incarnation of this VM; makes its sequence numbers larger than those of earlier starts
     */
    public GrantHolder(long incarnation) {
        this.lastSequence = incarnation << 20;
    }

    /** Requests a grant, or its renewal. */
    public List<FloorAction> request(
            String service, String server, VoterSet voters, ServiceRules currentRules, long nowNanos) {
        rules.put(service, currentRules);
        HeldGrant grant =
                grants.computeIfAbsent(new Key(service, server), key -> new HeldGrant(service, server, nowNanos));
        grant.markRequested(nowNanos);
        if (grant.isAwaitingReply() || (grant.isLive(nowNanos) && !grant.isRenewalDue(nowNanos))) {
            return List.of();
        }
        grant.setCandidates(candidates(service, voters));
        return sendToNextTarget(grant, nowNanos);
    }

    /** Releases a grant. */
    public List<FloorAction> release(String service, String server, VoterSet voters) {
        HeldGrant grant = grants.remove(new Key(service, server));
        return grant == null ? List.of() : releaseActions(grant, voters);
    }

    /** Handles the reply to a request. */
    public List<FloorAction> onReply(String sender, GrantReply reply, long nowNanos) {
        HeldGrant grant = grants.get(new Key(reply.service(), reply.server()));
        if (grant == null || !grant.isAwaitedReply(reply.sequence())) {
            return List.of();
        }
        return switch (reply.result()) {
            case GRANTED -> onGranted(sender, grant, nowNanos);
            case REFUSED -> onRefused(sender, grant, nowNanos);
            case NOT_GRANTER -> {
                granters.remove(reply.service(), sender);
                grant.prioritize(reply.granter());
                yield sendToNextTarget(grant, nowNanos);
            }
        };
    }

    /** Handles the revocation of a grant. */
    public List<FloorAction> onRevoked(String service, String server, VoterSet voters) {
        HeldGrant grant = grants.remove(new Key(service, server));
        if (grant == null) {
            return List.of();
        }
        return Stream.concat(Stream.of(new Revoked(service, server)), releaseActions(grant, voters).stream())
                .toList();
    }

    /** Applies a configuration; all grants of a service whose allowance shrinks end at once. */
    public List<FloorAction> onRules(Function<String, ServiceRules> newRules, Function<String, VoterSet> voters) {
        List<FloorAction> actions = new ArrayList<>();
        for (Map.Entry<String, ServiceRules> entry : rules.entrySet()) {
            ServiceRules current = newRules.apply(entry.getKey());
            if (current.allowance() < entry.getValue().allowance()) {
                actions.addAll(revokeAll(entry.getKey(), voters.apply(entry.getKey())));
            }
            entry.setValue(current);
        }
        return actions;
    }

    /** Renews requested grants, sends a request to the next VM if its reply is overdue, and ends expired grants. */
    public List<FloorAction> onTick(Function<String, VoterSet> voters, long nowNanos) {
        List<FloorAction> actions = new ArrayList<>();
        for (HeldGrant grant : List.copyOf(grants.values())) {
            actions.addAll(onTick(grant, voters, nowNanos));
        }
        return actions;
    }

    /** Returns whether this VM has a live grant to eject the server. */
    public boolean isLive(String service, String server, long nowNanos) {
        HeldGrant grant = grants.get(new Key(service, server));
        return grant != null && grant.isLive(nowNanos);
    }

    /** Returns the number of live grants. */
    public long liveGrants(long nowNanos) {
        return grants.values().stream().filter(grant -> grant.isLive(nowNanos)).count();
    }

    /** Returns the VM that last replied as granter of the service. */
    public Optional<String> granter(String service) {
        return Optional.ofNullable(granters.get(service));
    }

    private List<FloorAction> onTick(HeldGrant grant, Function<String, VoterSet> voters, long nowNanos) {
        if (grant.isExpired(nowNanos)) {
            grants.remove(new Key(grant.service(), grant.server()));
            return List.of(new Revoked(grant.service(), grant.server()));
        }
        if (grant.isReplyOverdue(nowNanos)) {
            granters.remove(grant.service());
            return sendToNextTarget(grant, nowNanos);
        }
        if (grant.isLive(nowNanos) && grant.isRequestedRecently(nowNanos) && grant.isRenewalDue(nowNanos)) {
            grant.setCandidates(candidates(grant.service(), voters.apply(grant.service())));
            return sendToNextTarget(grant, nowNanos);
        }
        return List.of();
    }

    private List<FloorAction> sendToNextTarget(HeldGrant grant, long nowNanos) {
        Optional<String> target = grant.nextTarget(++lastSequence, nowNanos);
        if (target.isEmpty()) {
            return refuseUnlessLive(grant, nowNanos);
        }
        ServiceRules current = rules.get(grant.service());
        GrantRequest request = new GrantRequest(
                grant.service(),
                grant.server(),
                grant.sequence(),
                grant.wasLiveAtRequest(),
                current.ticket(),
                current.allowance());
        return List.of(new Send(target.get(), request));
    }

    private List<FloorAction> onGranted(String sender, HeldGrant grant, long nowNanos) {
        granters.put(grant.service(), sender);
        if (!grant.onGranted(nowNanos)) {
            return refuseUnlessLive(grant, nowNanos);
        }
        return List.of(new Granted(grant.service(), grant.server(), grant.untilNanos()));
    }

    private List<FloorAction> onRefused(String sender, HeldGrant grant, long nowNanos) {
        granters.put(grant.service(), sender);
        grants.remove(new Key(grant.service(), grant.server()));
        boolean live = grant.isLive(nowNanos);
        return List.of(
                live ? new Revoked(grant.service(), grant.server()) : new Refused(grant.service(), grant.server()));
    }

    private List<FloorAction> refuseUnlessLive(HeldGrant grant, long nowNanos) {
        grant.finishRequest();
        if (grant.isLive(nowNanos)) {
            return List.of();
        }
        grants.remove(new Key(grant.service(), grant.server()));
        return List.of(new Refused(grant.service(), grant.server()));
    }

    private List<FloorAction> revokeAll(String service, VoterSet voters) {
        List<FloorAction> actions = new ArrayList<>();
        for (HeldGrant grant : List.copyOf(grants.values())) {
            if (grant.service().equals(service)) {
                actions.addAll(onRevoked(service, grant.server(), voters));
            }
        }
        return actions;
    }

    private List<FloorAction> releaseActions(HeldGrant grant, VoterSet voters) {
        GrantRelease release = new GrantRelease(grant.service(), grant.server(), grant.sequence());
        return candidates(grant.service(), voters).stream()
                .<FloorAction>map(target -> new Send(target, release))
                .toList();
    }

    private List<String> candidates(String service, VoterSet voters) {
        Optional<String> known = granter(service).filter(voters::contains);
        Stream<String> others = voters.ids().stream().filter(id -> !known.equals(Optional.of(id)));
        return Stream.concat(known.stream(), others).toList();
    }

    private record Key(String service, String server) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int byService = service.compareTo(other.service);
            return byService != 0 ? byService : server.compareTo(other.server);
        }
    }
}
