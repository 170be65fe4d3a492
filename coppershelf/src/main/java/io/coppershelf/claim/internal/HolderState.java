package io.coppershelf.claim.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coppershelf.claim.internal.ClaimMessage.ClaimCompletion;
import io.coppershelf.claim.internal.ClaimMessage.ClaimPage;
import io.coppershelf.claim.internal.ClaimMessage.ClaimRequest;
import io.coppershelf.membership.FleetView;
import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;

/** The state of one VM as a holder: its claim records, and for which keys they are complete. Thread-safe. */
public final class HolderState {
    private final ClaimTable table = new ClaimTable(ClaimLimits.MAX_CLAIM_RECORDS);
    private final ClaimCoverage coverage;

    /** Creates the state of a holder that starts now. */
    public HolderState(FleetView view, long nowNanos) {
        coverage = new ClaimCoverage(view, nowNanos);
    }

    /** Decides on a claim. */
    public synchronized HolderDecision claim(ClaimRequest request, long nowNanos) {
        if (!coverage.covers(request.key(), nowNanos)) {
            return HolderDecision.of(HolderDecision.Kind.NO_HISTORY);
        }
        return table.claim(
                request.key(),
                request.digest(),
                request.requestId(),
                Duration.ofMillis(request.remainingMillis()),
                nowNanos);
    }

    /** Records how a request ended. */
    public synchronized void complete(ClaimCompletion completion, long nowNanos) {
        table.complete(
                completion.key(),
                completion.digest(),
                completion.requestId(),
                completion.status(),
                completion.answer(),
                nowNanos);
    }

    /** Merges claim records of another holder. */
    public synchronized void merge(List<TransferredClaim> claims, long nowNanos) {
        claims.forEach(claim -> table.merge(claim, nowNanos));
    }

    /** Returns the next page of a transfer. */
    public synchronized ClaimPage page(String after, Predicate<String> filter, long nowNanos) {
        ClaimTable.Page page = table.page(after, filter, nowNanos);
        return new ClaimPage(
                page.claims(), page.last(), page.complete(), coverage.isComplete(nowNanos), coverage.lostVms(nowNanos));
    }

    /** Applies a view of the fleet. */
    public synchronized void onFleet(FleetView view, long nowNanos) {
        coverage.onFleet(view, nowNanos);
    }

    /** Records that a peer has sent all pages of the pull. */
    public synchronized void onPullComplete(String peer, boolean historyKnown, List<String> lost) {
        coverage.onPullComplete(peer, historyKnown, lost);
    }

    /** Returns the peers from which claim records must still be pulled. */
    public synchronized List<String> peersToPull(long nowNanos) {
        return coverage.peersToPull(nowNanos);
    }

    /** Returns whether this VM has the claim records from before its start. */
    public synchronized boolean isComplete(long nowNanos) {
        return coverage.isComplete(nowNanos);
    }

    /** Removes expired claim records. */
    public synchronized void prune(long nowNanos) {
        table.prune(nowNanos);
    }

    /** Adds the statistics of this holder to the status. */
    public synchronized void describe(ObjectNode status, long nowNanos) {
        status.put("complete", coverage.isComplete(nowNanos));
        status.put("attempts", table.size());
        status.put("answerBytes", table.answerBytes());
    }
}
