package io.coppershelf.claim.internal;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.claim.internal.ClaimMessage.ClaimConfirmation;
import io.coppershelf.claim.internal.ClaimMessage.ClaimPage;
import io.coppershelf.claim.internal.ClaimMessage.ClaimPull;
import io.coppershelf.claim.internal.ClaimMessage.ClaimPush;
import io.coppershelf.component.ControlThread;
import io.coppershelf.component.TimeSource;
import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.peer.PeerExchange;
import io.coppershelf.peer.PeerReply;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

/**
 * Transfers claim records between VMs. A VM that starts pulls them from all peers, holders push them to VMs that become
 * holders of their keys, and a VM that stops hands over its own.
 */
public final class ClaimTransfer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_CONCURRENT_PULLS = 8;

    private final HolderState holder;
    private final PeerExchange peers;
    private final FleetView.Source fleet;
    private final TimeSource time;
    private final Set<String> pulling = ConcurrentHashMap.newKeySet();
    private FleetView lastView;

    /** Creates a transfer that uses the given components. */
    public ClaimTransfer(HolderState holder, PeerExchange peers, FleetView.Source fleet, TimeSource time) {
        this.holder = holder;
        this.peers = peers;
        this.fleet = fleet;
        this.time = time;
        this.lastView = fleet.current();
    }

    /** Registers the codecs and handlers of pulls and pushes. */
    public void registerHandlers() {
        peers.register(ClaimCodecs.page());
        peers.register(ClaimCodecs.pull(), this::onPull);
        peers.register(ClaimCodecs.push(), (sender, push, replies) -> {
            holder.merge(push.claims(), time.nanos());
            replies.reply(new ClaimConfirmation());
        });
    }

    /** Applies a view of the fleet; if the VM list changed, pushes claim records to new holders, now and once more. */
    public void onFleet(ControlThread control) {
        FleetView former = lastView;
        FleetView view = fleet.current();
        if (publishedVms(former).equals(publishedVms(view))) {
            return;
        }
        lastView = view;
        holder.onFleet(view, time.nanos());
        push(former, view);
        control.after(ClaimLimits.SECOND_PUSH_DELAY, () -> push(former, view));
    }

    /** Starts pulls from peers that have not completed one yet. */
    public void pullFromMissingPeers() {
        for (String id : holder.peersToPull(time.nanos())) {
            if (pulling.size() >= MAX_CONCURRENT_PULLS) {
                return;
            }
            if (pulling.add(id)) {
                pull(id, "");
            }
        }
    }

    /** Sends all claim records to the VMs that become holders when this one stops; waits for at most the limit. */
    public void handOver(Duration limit) {
        FleetView view = fleet.current();
        String self = view.self().id();
        await(
                pushAll(key -> {
                    List<String> remainingHolders =
                            view.rankedPublished("claim/" + key, ClaimLimits.HOLDERS + 1).stream()
                                    .map(Vm::id)
                                    .filter(id -> !id.equals(self))
                                    .toList();
                    return remainingHolders.subList(Math.max(0, remainingHolders.size() - 1), remainingHolders.size());
                }),
                limit);
    }

    private void onPull(String sender, ClaimPull pull, PeerExchange.Replies replies) {
        FleetView view = fleet.current();
        boolean isListed = publishedVms(view).stream().anyMatch(vm -> vm.id().equals(sender));
        if (!isListed) {
            return;
        }
        replies.reply(holder.page(
                pull.after(), key -> ClaimCoverage.holders(view, key).contains(sender), time.nanos()));
    }

    private void pull(String id, String after) {
        FleetView view = fleet.current();
        if (view.vm(id).isEmpty()) {
            pulling.remove(id);
            return;
        }
        var unused = peers.request(view.vm(id).get(), new ClaimPull(after), ClaimLimits.PULL_TIMEOUT)
                .thenAccept(reply -> onPage(id, reply));
    }

    private void onPage(String id, PeerReply reply) {
        boolean isPage = reply instanceof PeerReply.Received received && received.message() instanceof ClaimPage;
        if (!isPage) {
            pulling.remove(id);
            return;
        }
        ClaimPage page = (ClaimPage) ((PeerReply.Received) reply).message();
        holder.merge(page.claims(), time.nanos());
        if (!page.complete()) {
            pull(id, page.last());
            return;
        }
        holder.onPullComplete(id, page.historyKnown(), page.lost());
        pulling.remove(id);
    }

    private static List<Vm> publishedVms(FleetView view) {
        return view.rankedPublished("", Integer.MAX_VALUE);
    }

    private void push(FleetView former, FleetView view) {
        var unused = pushAll(key -> {
            List<String> added = new ArrayList<>(ClaimCoverage.holders(view, key));
            added.removeAll(ClaimCoverage.holders(former, key));
            added.remove(view.self().id());
            return added;
        });
    }

    private List<CompletableFuture<PeerReply>> pushAll(Function<String, List<String>> targets) {
        List<CompletableFuture<PeerReply>> pushes = new ArrayList<>();
        ClaimPage page = holder.page("", key -> true, time.nanos());
        pushes.addAll(pushPage(page, targets));
        while (!page.complete()) {
            page = holder.page(page.last(), key -> true, time.nanos());
            pushes.addAll(pushPage(page, targets));
        }
        return pushes;
    }

    private List<CompletableFuture<PeerReply>> pushPage(ClaimPage page, Function<String, List<String>> targets) {
        Map<String, List<TransferredClaim>> byTarget = new TreeMap<>();
        for (TransferredClaim claim : page.claims()) {
            for (String target : targets.apply(claim.key())) {
                byTarget.computeIfAbsent(target, id -> new ArrayList<>()).add(claim);
            }
        }
        List<CompletableFuture<PeerReply>> pushes = new ArrayList<>();
        byTarget.forEach((id, claims) -> fleet.current()
                .vm(id)
                .ifPresent(
                        target -> pushes.add(peers.request(target, new ClaimPush(claims), ClaimLimits.PULL_TIMEOUT))));
        return pushes;
    }

    private static void await(List<CompletableFuture<PeerReply>> pushes, Duration limit) {
        try {
            CompletableFuture.allOf(pushes.toArray(CompletableFuture[]::new))
                    .get(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            logger.atWarning().log("[claim] The handover was not confirmed by all peers within %s.", limit);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
