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
 * Moves claims between VMs: a VM that starts pulls them from all peers, holders push them to VMs that become holders of
 * their keys, and a VM that stops hands its own over.
 */
public final class ClaimTransfer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int PULLS_AT_ONCE = 8;

    private final HolderState holder;
    private final PeerExchange peers;
    private final FleetView.Source fleet;
    private final TimeSource time;
    private final Set<String> pulling = ConcurrentHashMap.newKeySet();
    private FleetView before;

    /** Returns a transfer that uses the given services. */
    public ClaimTransfer(HolderState holder, PeerExchange peers, FleetView.Source fleet, TimeSource time) {
        this.holder = holder;
        this.peers = peers;
        this.fleet = fleet;
        this.time = time;
        this.before = fleet.current();
    }

    /** Registers the handlers of a holder. */
    public void registerHandlers() {
        peers.register(ClaimCodecs.page());
        peers.register(ClaimCodecs.pull(), this::onPull);
        peers.register(ClaimCodecs.push(), (sender, push, replies) -> {
            holder.merge(push.attempts(), time.nanos());
            replies.reply(new ClaimConfirmation());
        });
    }

    /** Takes over a view of the fleet and pushes claims to new holders, now and once more. */
    public void onFleet(ControlThread control) {
        FleetView former = before;
        FleetView view = fleet.current();
        if (list(former).equals(list(view))) {
            return;
        }
        before = view;
        holder.onFleet(view, time.nanos());
        push(former, view);
        control.after(ClaimLimits.SECOND_PUSH, () -> push(former, view));
    }

    /** Starts pulls from peers that have not answered one yet. */
    public void pullFromMissingPeers() {
        for (String id : holder.peersToPull(time.nanos())) {
            if (pulling.size() >= PULLS_AT_ONCE) {
                return;
            }
            if (pulling.add(id)) {
                pull(id, "");
            }
        }
    }

    /** Hands all claims over to the VMs that hold their keys once this one is gone; waits for at most the limit. */
    public void handOver(Duration limit) {
        FleetView view = fleet.current();
        String self = view.self().id();
        await(
                pushAll(key -> {
                    List<String> next = view.rankedPublished("claim/" + key, ClaimLimits.HOLDERS + 1).stream()
                            .map(Vm::id)
                            .filter(id -> !id.equals(self))
                            .toList();
                    return next.subList(Math.max(0, next.size() - 1), next.size());
                }),
                limit);
    }

    private void onPull(String sender, ClaimPull pull, PeerExchange.Replies replies) {
        FleetView view = fleet.current();
        boolean known = list(view).stream().anyMatch(vm -> vm.id().equals(sender));
        if (!known) {
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
        boolean answered = reply instanceof PeerReply.Received received && received.message() instanceof ClaimPage;
        if (!answered) {
            pulling.remove(id);
            return;
        }
        ClaimPage page = (ClaimPage) ((PeerReply.Received) reply).message();
        holder.merge(page.attempts(), time.nanos());
        if (!page.complete()) {
            pull(id, page.last());
            return;
        }
        holder.onPullComplete(id, page.historyKnown(), page.lost());
        pulling.remove(id);
    }

    private static List<Vm> list(FleetView view) {
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
        List<CompletableFuture<PeerReply>> sends = new ArrayList<>();
        ClaimPage page = holder.page("", key -> true, time.nanos());
        sends.addAll(pushPage(page, targets));
        while (!page.complete()) {
            page = holder.page(page.last(), key -> true, time.nanos());
            sends.addAll(pushPage(page, targets));
        }
        return sends;
    }

    private List<CompletableFuture<PeerReply>> pushPage(ClaimPage page, Function<String, List<String>> targets) {
        Map<String, List<TransferredClaim>> byTarget = new TreeMap<>();
        for (TransferredClaim attempt : page.attempts()) {
            for (String target : targets.apply(attempt.key())) {
                byTarget.computeIfAbsent(target, id -> new ArrayList<>()).add(attempt);
            }
        }
        List<CompletableFuture<PeerReply>> sends = new ArrayList<>();
        byTarget.forEach((id, attempts) -> fleet.current()
                .vm(id)
                .ifPresent(
                        target -> sends.add(peers.request(target, new ClaimPush(attempts), ClaimLimits.PULL_TIMEOUT))));
        return sends;
    }

    private static void await(List<CompletableFuture<PeerReply>> sends, Duration limit) {
        try {
            CompletableFuture.allOf(sends.toArray(CompletableFuture[]::new))
                    .get(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            logger.atWarning().log("[claim] The handover was not confirmed by all peers within %s.", limit);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
