package io.coppershelf.claim.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coppershelf.claim.internal.ClaimMessage.ClaimCompletion;
import io.coppershelf.claim.internal.ClaimMessage.ClaimPage;
import io.coppershelf.claim.internal.ClaimMessage.ClaimRequest;
import io.coppershelf.membership.FleetView;
import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;

/**
 * What one VM knows as a holder: its table of claims and whether that is the whole truth. Safe for use by several
 * threads.
 */
public final class HolderState {
    private final ClaimTable table = new ClaimTable(ClaimLimits.MOST_ATTEMPTS);
    private final ClaimCoverage history;

    /** Returns the state of a holder that starts now. */
    public HolderState(FleetView view, long nowNanos) {
        history = new ClaimCoverage(view, nowNanos);
    }

    /** Decides on a claim. */
    public synchronized HolderDecision claim(ClaimRequest request, long nowNanos) {
        if (!history.covers(request.key(), nowNanos)) {
            return HolderDecision.of(HolderDecision.Kind.NO_HISTORY);
        }
        return table.claim(
                request.key(),
                request.digest(),
                request.attempt(),
                Duration.ofMillis(request.remainingMillis()),
                nowNanos);
    }

    /** Takes in the end of an attempt. */
    public synchronized void complete(ClaimCompletion completion, long nowNanos) {
        table.complete(
                completion.key(),
                completion.digest(),
                completion.attempt(),
                completion.status(),
                completion.answer(),
                nowNanos);
    }

    /** Takes in what another holder knows. */
    public synchronized void merge(List<TransferredClaim> attempts, long nowNanos) {
        attempts.forEach(attempt -> table.merge(attempt, nowNanos));
    }

    /** Returns the next page of a transfer. */
    public synchronized ClaimPage page(String after, Predicate<String> wanted, long nowNanos) {
        ClaimTable.Page page = table.page(after, wanted, nowNanos);
        return new ClaimPage(
                page.attempts(), page.last(), page.complete(), history.isComplete(nowNanos), history.lostVms(nowNanos));
    }

    /** Takes over a view of the fleet. */
    public synchronized void onFleet(FleetView view, long nowNanos) {
        history.onFleet(view, nowNanos);
    }

    /** Takes in that a peer has answered the whole pull. */
    public synchronized void onPullComplete(String peer, boolean knowing, List<String> lost) {
        history.onPullComplete(peer, knowing, lost);
    }

    /** Returns the peers that are still to be pulled from. */
    public synchronized List<String> peersToPull(long nowNanos) {
        return history.peersToPull(nowNanos);
    }

    /** Returns whether this VM knows the attempts that were made before it started. */
    public synchronized boolean isComplete(long nowNanos) {
        return history.isComplete(nowNanos);
    }

    /** Forgets the attempts that are older than the window. */
    public synchronized void prune(long nowNanos) {
        table.prune(nowNanos);
    }

    /** Adds the figures of this holder to the status. */
    public synchronized void describe(ObjectNode status, long nowNanos) {
        status.put("complete", history.isComplete(nowNanos));
        status.put("attempts", table.size());
        status.put("answerBytes", table.answerBytes());
    }
}
