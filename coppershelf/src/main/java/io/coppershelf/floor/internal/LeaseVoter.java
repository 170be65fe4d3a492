package io.coppershelf.floor.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The votes that one VM gives to candidates for granter, one candidate a service at a time.
 *
 * <p>It abstains for one lease after its start, after a pause of its own and after a change of its voter set, since it
 * may have given a vote before that it no longer knows of or that counts in another set.
 */
public final class LeaseVoter {
    private final Map<String, Ballot> ballots = new HashMap<>();
    private long abstainUntilNanos;

    /** Returns a voter that starts now. */
    public LeaseVoter(long nowNanos) {
        abstain(nowNanos);
    }

    /** Abstains for one lease in all services. */
    public void abstain(long nowNanos) {
        abstainUntilNanos = nowNanos + FloorTiming.issuerNanos(FloorTiming.LEASE_DURATION);
    }

    /**
     * Returns whether the candidate gets the vote of this VM for one lease from now.
     *
     * @param own the voter set of the service in the view of this VM
     * @param requested the voter set in the view of the candidate
     * @param candidate the candidate with its incarnation
     */
    public boolean vote(String service, VoterSet own, VoterSet requested, Candidate candidate, long nowNanos) {
        Ballot ballot = ballots.computeIfAbsent(service, name -> new Ballot(own));
        ballot.changeSet(own, nowNanos);
        if (nowNanos - abstainUntilNanos < 0 || nowNanos - ballot.abstainUntilNanos < 0) {
            return false;
        }
        if (!own.equals(requested) || !own.contains(candidate.id()) || !own.isLargeEnough()) {
            return false;
        }
        return ballot.give(candidate, nowNanos);
    }

    /** Returns the candidate that has the vote of this VM now. */
    public Optional<String> votedFor(String service, long nowNanos) {
        Ballot ballot = ballots.get(service);
        if (ballot == null || !ballot.isGiven(nowNanos)) {
            return Optional.empty();
        }
        return ballot.candidate.map(Candidate::id);
    }

    /** Takes note of the voter set in the view of this VM, so that a change is seen when it happens. */
    public void updateVoterSet(String service, VoterSet own, long nowNanos) {
        Ballot ballot = ballots.get(service);
        if (ballot != null) {
            ballot.changeSet(own, nowNanos);
        }
    }

    /**
     * A candidate for granter.
     *
     * @param id its VM
     * @param incarnation its start
     */
    public record Candidate(String id, long incarnation) {}

    private static final class Ballot {
        private VoterSet set;
        private Optional<Candidate> candidate = Optional.empty();
        private long untilNanos;
        private long abstainUntilNanos = Long.MIN_VALUE / 2;

        Ballot(VoterSet set) {
            this.set = set;
        }

        void changeSet(VoterSet now, long nowNanos) {
            if (set.equals(now)) {
                return;
            }
            set = now;
            abstainUntilNanos = nowNanos + FloorTiming.issuerNanos(FloorTiming.LEASE_DURATION);
        }

        boolean isGiven(long nowNanos) {
            return candidate.isPresent() && nowNanos - untilNanos < 0;
        }

        boolean give(Candidate asking, long nowNanos) {
            if (isGiven(nowNanos) && !candidate.equals(Optional.of(asking))) {
                return false;
            }
            candidate = Optional.of(asking);
            untilNanos = nowNanos + FloorTiming.issuerNanos(FloorTiming.LEASE_DURATION);
            return true;
        }
    }
}
