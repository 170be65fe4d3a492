package io.coppershelf.mesh;

import io.coppershelf.dispatch.FleetPosition;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Exchanges the membership with other VMs, and publishes the position of this VM. Confined to the control thread. */
final class MembershipExchange {
    private final Membership membership;
    private final FleetMessenger messenger;
    private volatile FleetPosition position;
    private volatile List<InetSocketAddress> relays = List.of();

    MembershipExchange(Membership membership, FleetMessenger messenger) {
        this.membership = membership;
        this.messenger = messenger;
        position = membership.position(0, System.nanoTime());
    }

    /** Returns the position of this VM among the live VMs; any thread may call this. */
    FleetPosition position() {
        return position;
    }

    /** Returns the address of a random VM that accepts requests of this one; any thread may call this. */
    Optional<InetSocketAddress> relay(Set<InetSocketAddress> excluded) {
        List<InetSocketAddress> accepting =
                relays.stream().filter(relay -> !excluded.contains(relay)).toList();
        return accepting.isEmpty()
                ? Optional.empty()
                : Optional.of(accepting.get(ThreadLocalRandom.current().nextInt(accepting.size())));
    }

    /** Announces to all VMs whether this one reaches servers. */
    void announceReachable(boolean isReachable, long nowNanos) {
        membership.cutOff(!isReachable);
        messenger.sendToAll(members(false, false, nowNanos), nowNanos);
    }

    /** Sends what this VM knows to another one and requests what that one knows. */
    void gossip(long nowNanos) {
        membership
                .nextGossipTarget(nowNanos)
                .ifPresent(receiver -> messenger.send(receiver, members(false, true, nowNanos)));
        updatePosition(nowNanos);
    }

    /** Applies what another VM knows, and answers it if that is requested or the sender was unknown. */
    void apply(InetSocketAddress sender, MeshMessage.Members members, long nowNanos) {
        boolean hasNew = membership.merge(members.members(), nowNanos);
        updatePosition(nowNanos);
        if (hasNew || members.isReplyRequested()) {
            messenger.send(sender, members(hasNew, false, nowNanos));
        }
    }

    /** Requests the members that another VM knows. */
    void requestMembers(InetSocketAddress receiver, long nowNanos) {
        messenger.send(receiver, members(false, true, nowNanos));
    }

    /** Announces to all VMs that this one accepts no new requests. */
    void leave(long nowNanos) {
        membership.leave();
        messenger.sendToAll(members(false, false, nowNanos), nowNanos);
    }

    private MeshMessage.Members members(boolean isComplete, boolean isReplyRequested, long nowNanos) {
        return new MeshMessage.Members(membership.nextEntries(isComplete, nowNanos), isReplyRequested);
    }

    private void updatePosition(long nowNanos) {
        position = membership.position(messenger.rank(nowNanos), nowNanos);
        relays = membership.relays(nowNanos);
    }
}
