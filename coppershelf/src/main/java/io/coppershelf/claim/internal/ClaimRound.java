package io.coppershelf.claim.internal;

import io.coppershelf.claim.Claims.ClaimResult;
import io.coppershelf.outcome.ErrorKind;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * One request's claim on its key: collects the decisions of the holders until the result is determined. Not
 * thread-safe.
 */
public final class ClaimRound {
    private final Set<String> pending;
    private final Set<String> accepted = new HashSet<>();
    private final int quorum;
    private Optional<ClaimResult> result = Optional.empty();

    /**
     * Creates a round with the given holders.
     *
     * @param holders the ids of the holders
     */
    public ClaimRound(List<String> holders) {
        this.pending = new HashSet<>(holders);
        this.quorum = ClaimLimits.quorum(holders.size());
        rejectIfQuorumUnreachable();
    }

    /** Handles the decision of a holder; returns the result if this determines it. */
    public Optional<ClaimResult> onReply(String holder, HolderDecision decision) {
        if (result.isPresent() || !pending.remove(holder)) {
            return Optional.empty();
        }
        if (decision.kind() == HolderDecision.Kind.ACCEPTED) {
            accepted.add(holder);
        }
        result = determine(decision);
        rejectIfQuorumUnreachable();
        return result;
    }

    /** Handles that a holder did not reply; returns the result if this determines it. */
    public Optional<ClaimResult> onNoReply(String holder) {
        return onReply(holder, HolderDecision.of(HolderDecision.Kind.NO_HISTORY));
    }

    /** Returns the result, empty while it is not determined. */
    public Optional<ClaimResult> result() {
        return result;
    }

    private Optional<ClaimResult> determine(HolderDecision decision) {
        return switch (decision.kind()) {
            case ACCEPTED -> accepted.size() >= quorum ? Optional.of(new ClaimResult.Claimed()) : Optional.empty();
            case RUN ->
                Optional.of(decision.answer()
                        .<ClaimResult>map(ClaimResult.Answered::new)
                        .orElseGet(() -> new ClaimResult.Rejected(ErrorKind.KEY_ANSWER_NOT_KEPT)));
            case RUNNING -> rejected(ErrorKind.KEY_RUNNING);
            case UNKNOWN -> rejected(ErrorKind.KEY_OUTCOME_UNKNOWN);
            case REUSED -> rejected(ErrorKind.KEY_REUSED);
            case NO_HISTORY, FULL -> Optional.empty();
        };
    }

    private void rejectIfQuorumUnreachable() {
        if (result.isEmpty() && (quorum == 0 || accepted.size() + pending.size() < quorum)) {
            result = rejected(ErrorKind.KEY_UNDECIDED);
        }
    }

    private static Optional<ClaimResult> rejected(ErrorKind error) {
        return Optional.of(new ClaimResult.Rejected(error));
    }
}
