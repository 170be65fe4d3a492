package io.coppershelf.claim.internal;

import io.coppershelf.claim.Claims.ClaimResult;
import io.coppershelf.outcome.ErrorKind;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * One request's claim on its key: counts what the holders say until it is decided. Not safe for use by several threads.
 */
public final class ClaimRound {
    private final Set<String> open;
    private final Set<String> accepted = new HashSet<>();
    private final int quorum;
    private Optional<ClaimResult> verdict = Optional.empty();

    /**
     * Returns a round that asks the given holders.
     *
     * @param holders the ids of the holders
     */
    public ClaimRound(List<String> holders) {
        this.open = new HashSet<>(holders);
        this.quorum = ClaimLimits.quorum(holders.size());
        decideIfHopeless();
    }

    /** Takes in what a holder says; returns the verdict if this decides the round. */
    public Optional<ClaimResult> onReply(String holder, HolderDecision answer) {
        if (verdict.isPresent() || !open.remove(holder)) {
            return Optional.empty();
        }
        if (answer.verdict() == HolderDecision.Kind.ACCEPTED) {
            accepted.add(holder);
        }
        verdict = decide(answer);
        decideIfHopeless();
        return verdict;
    }

    /** Takes in that a holder does not answer; returns the verdict if this decides the round. */
    public Optional<ClaimResult> onNoReply(String holder) {
        return onReply(holder, HolderDecision.of(HolderDecision.Kind.NO_HISTORY));
    }

    /** Returns the verdict, empty while it is open. */
    public Optional<ClaimResult> verdict() {
        return verdict;
    }

    private Optional<ClaimResult> decide(HolderDecision answer) {
        return switch (answer.verdict()) {
            case ACCEPTED -> accepted.size() >= quorum ? Optional.of(new ClaimResult.Claimed()) : Optional.empty();
            case RUN ->
                Optional.of(answer.answer()
                        .<ClaimResult>map(ClaimResult.Answered::new)
                        .orElseGet(() -> new ClaimResult.Rejected(ErrorKind.KEY_ANSWER_NOT_KEPT)));
            case RUNNING -> rejected(ErrorKind.KEY_RUNNING);
            case UNKNOWN -> rejected(ErrorKind.KEY_OUTCOME_UNKNOWN);
            case REUSED -> rejected(ErrorKind.KEY_REUSED);
            case NO_HISTORY, FULL -> Optional.empty();
        };
    }

    private void decideIfHopeless() {
        if (verdict.isEmpty() && (quorum == 0 || accepted.size() + open.size() < quorum)) {
            verdict = rejected(ErrorKind.KEY_UNDECIDED);
        }
    }

    private static Optional<ClaimResult> rejected(ErrorKind kind) {
        return Optional.of(new ClaimResult.Rejected(kind));
    }
}
