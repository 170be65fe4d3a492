package io.coppershelf.floor.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The votes of one VM for candidates for granter, at most one candidate for each service at a time.
 *
 * <p>It abstains for one lease duration after its start, after a pause of its process and after a change of its voter
 * set, because it may have cast an earlier vote that it has no record of or that counts in another set.
 */
public final class LeaseVoter {
    private final Map<String, Ballot> ballots = new HashMap<>();
    private long abstainUntilNanos;

    /** Creates a voter that starts now. */
    public LeaseVoter(long nowNanos) {
        abstain(nowNanos);
    }

    /** Abstains for one lease duration for all services. */
    public void abstain(long nowNanos) {
        abstainUntilNanos = nowNanos + FloorTiming.issuerNanos(FloorTiming.LEASE_DURATION);
    }

    /**
     * Decides on a vote request: returns whether this VM votes for the candidate for one lease duration from now.
     *
     * @param own the voter set of the service as this VM sees it
     * @param requested the voter set as the candidate sees it
     * @param candidate the candidate with its incarnation
     */
    public boolean vote(String service, VoterSet own, VoterSet requested, Candidate candidate, long nowNanos) {
        Ballot ballot = ballots.computeIfAbsent(service, name -> new Ballot(own));
        ballot.changeVoters(own, nowNanos);
        if (nowNanos - abstainUntilNanos < 0 || nowNanos - ballot.abstainUntilNanos < 0) {
            return false;
        }
        if (!own.equals(requested) || !own.contains(candidate.id()) || !own.isLargeEnough()) {
            return false;
        }
        return ballot.cast(candidate, nowNanos);
    }

    /** Returns the candidate that this VM's current vote is for. */
    public Optional<String> votedFor(String service, long nowNanos) {
        Ballot ballot = ballots.get(service);
        if (ballot == null || !ballot.isCast(nowNanos)) {
            return Optional.empty();
        }
        return ballot.candidate.map(Candidate::id);
    }

    /** Applies the voter set as this VM sees it, so that abstention begins when the set changes. */
    public void updateVoterSet(String service, VoterSet own, long nowNanos) {
        Ballot ballot = ballots.get(service);
        if (ballot != null) {
            ballot.changeVoters(own, nowNanos);
        }
    }

    /**
     * A candidate for granter.
     *
     * @param id the id of its VM
     * @param incarnation the incarnation of its VM
     */
    public record Candidate(String id, long incarnation) {}

    private static final class Ballot {
        private VoterSet voters;
        private Optional<Candidate> candidate = Optional.empty();
        private long untilNanos;
        private long abstainUntilNanos = Long.MIN_VALUE / 2;

        Ballot(VoterSet voters) {
            this.voters = voters;
        }

        void changeVoters(VoterSet newVoters, long nowNanos) {
            if (voters.equals(newVoters)) {
                return;
            }
            voters = newVoters;
            abstainUntilNanos = nowNanos + FloorTiming.issuerNanos(FloorTiming.LEASE_DURATION);
        }

        boolean isCast(long nowNanos) {
            return candidate.isPresent() && nowNanos - untilNanos < 0;
        }

        boolean cast(Candidate requester, long nowNanos) {
            if (isCast(nowNanos) && !candidate.equals(Optional.of(requester))) {
                return false;
            }
            candidate = Optional.of(requester);
            untilNanos = nowNanos + FloorTiming.issuerNanos(FloorTiming.LEASE_DURATION);
            return true;
        }
    }
}
