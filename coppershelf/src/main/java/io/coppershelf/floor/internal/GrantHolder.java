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

/** The rights that one VM holds and asks for, over all services. */
public final class GrantHolder {
    private final Map<Key, HeldGrant> rights = new TreeMap<>();
    private final Map<String, String> granters = new HashMap<>();
    private final Map<String, ServiceRules> rules = new HashMap<>();
    private long lastSequence;

    /**
     * Returns a holder without rights.
     *
     * @param incarnation the start of this VM, so that its sequence numbers are above those of earlier starts
     */
    public GrantHolder(long incarnation) {
        this.lastSequence = incarnation << 20;
    }

    /** Asks for a right, or renews it. */
    public List<FloorAction> request(
            String service, String server, VoterSet voters, ServiceRules inForce, long nowNanos) {
        rules.put(service, inForce);
        HeldGrant right =
                rights.computeIfAbsent(new Key(service, server), key -> new HeldGrant(service, server, nowNanos));
        right.markRequested(nowNanos);
        if (right.isAwaitingReply() || (right.isLive(nowNanos) && !right.isRenewalDue(nowNanos))) {
            return List.of();
        }
        right.setCandidates(candidates(service, voters));
        return askNext(right, nowNanos);
    }

    /** Gives a right back. */
    public List<FloorAction> release(String service, String server, VoterSet voters) {
        HeldGrant right = rights.remove(new Key(service, server));
        return right == null ? List.of() : releaseActions(right, voters);
    }

    /** Takes in an answer. */
    public List<FloorAction> onReply(String sender, GrantReply reply, long nowNanos) {
        HeldGrant right = rights.get(new Key(reply.service(), reply.server()));
        if (right == null || !right.isAwaitedReply(reply.sequence())) {
            return List.of();
        }
        return switch (reply.verdict()) {
            case GRANTED -> onGranted(sender, right, nowNanos);
            case REFUSED -> onRefused(sender, right, nowNanos);
            case NOT_GRANTER -> {
                granters.remove(reply.service(), sender);
                right.prioritize(reply.granter());
                yield askNext(right, nowNanos);
            }
        };
    }

    /** Ends a right early. */
    public List<FloorAction> onRevoked(String service, String server, VoterSet voters) {
        HeldGrant right = rights.remove(new Key(service, server));
        if (right == null) {
            return List.of();
        }
        return Stream.concat(Stream.of(new Revoked(service, server)), releaseActions(right, voters).stream())
                .toList();
    }

    /** Takes in the configuration: a service that may spare fewer servers than before loses all its rights at once. */
    public List<FloorAction> onRules(Function<String, ServiceRules> inForce, Function<String, VoterSet> voters) {
        List<FloorAction> actions = new ArrayList<>();
        for (Map.Entry<String, ServiceRules> entry : rules.entrySet()) {
            ServiceRules now = inForce.apply(entry.getKey());
            if (now.allowance() < entry.getValue().allowance()) {
                actions.addAll(revokeAll(entry.getKey(), voters.apply(entry.getKey())));
            }
            entry.setValue(now);
        }
        return actions;
    }

    /** Renews what is wanted, tries the next VM where an answer is overdue, and ends what has lapsed. */
    public List<FloorAction> onTick(Function<String, VoterSet> voters, long nowNanos) {
        List<FloorAction> actions = new ArrayList<>();
        for (HeldGrant right : List.copyOf(rights.values())) {
            actions.addAll(onTick(right, voters, nowNanos));
        }
        return actions;
    }

    /** Returns whether the right to eject the server is live. */
    public boolean isLive(String service, String server, long nowNanos) {
        HeldGrant right = rights.get(new Key(service, server));
        return right != null && right.isLive(nowNanos);
    }

    /** Returns the number of rights that are live. */
    public long liveGrants(long nowNanos) {
        return rights.values().stream().filter(right -> right.isLive(nowNanos)).count();
    }

    /** Returns the VM that answered last as granter of the service. */
    public Optional<String> granter(String service) {
        return Optional.ofNullable(granters.get(service));
    }

    private List<FloorAction> onTick(HeldGrant right, Function<String, VoterSet> voters, long nowNanos) {
        if (right.isExpired(nowNanos)) {
            rights.remove(new Key(right.service(), right.server()));
            return List.of(new Revoked(right.service(), right.server()));
        }
        if (right.isReplyOverdue(nowNanos)) {
            granters.remove(right.service());
            return askNext(right, nowNanos);
        }
        if (right.isLive(nowNanos) && right.isRequestedRecently(nowNanos) && right.isRenewalDue(nowNanos)) {
            right.setCandidates(candidates(right.service(), voters.apply(right.service())));
            return askNext(right, nowNanos);
        }
        return List.of();
    }

    private List<FloorAction> askNext(HeldGrant right, long nowNanos) {
        Optional<String> target = right.nextTarget(++lastSequence, nowNanos);
        if (target.isEmpty()) {
            return refuseUnlessLive(right, nowNanos);
        }
        ServiceRules known = rules.get(right.service());
        GrantRequest request = new GrantRequest(
                right.service(),
                right.server(),
                right.sequence(),
                right.wasLiveAtRequest(),
                known.ticket(),
                known.allowance());
        return List.of(new Send(target.get(), request));
    }

    private List<FloorAction> onGranted(String sender, HeldGrant right, long nowNanos) {
        granters.put(right.service(), sender);
        if (!right.onGranted(nowNanos)) {
            return refuseUnlessLive(right, nowNanos);
        }
        return List.of(new Granted(right.service(), right.server(), right.untilNanos()));
    }

    private List<FloorAction> onRefused(String sender, HeldGrant right, long nowNanos) {
        granters.put(right.service(), sender);
        rights.remove(new Key(right.service(), right.server()));
        boolean live = right.isLive(nowNanos);
        return List.of(
                live ? new Revoked(right.service(), right.server()) : new Refused(right.service(), right.server()));
    }

    private List<FloorAction> refuseUnlessLive(HeldGrant right, long nowNanos) {
        right.finishRequest();
        if (right.isLive(nowNanos)) {
            return List.of();
        }
        rights.remove(new Key(right.service(), right.server()));
        return List.of(new Refused(right.service(), right.server()));
    }

    private List<FloorAction> revokeAll(String service, VoterSet voters) {
        List<FloorAction> actions = new ArrayList<>();
        for (HeldGrant right : List.copyOf(rights.values())) {
            if (right.service().equals(service)) {
                actions.addAll(onRevoked(service, right.server(), voters));
            }
        }
        return actions;
    }

    private List<FloorAction> releaseActions(HeldGrant right, VoterSet voters) {
        GrantRelease release = new GrantRelease(right.service(), right.server(), right.sequence());
        return candidates(right.service(), voters).stream()
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
