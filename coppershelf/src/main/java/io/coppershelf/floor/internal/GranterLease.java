package io.coppershelf.floor.internal;

import java.util.HashSet;
import java.util.Set;

/**
 * The lease under which one VM is the granter of a service, acquired and renewed by vote rounds.
 *
 * <p>The lease counts from before the requests of a round were sent. After it is acquired, though not after a renewal,
 * a takeover period follows in which grants of a former granter may still be live.
 *
 * @see <a href="https://dl.acm.org/doi/10.1145/74850.74870">Gray and Cheriton, Leases, SOSP 1989</a>
 */
public final class GranterLease {
    private VoterSet voters = new VoterSet(java.util.List.of());
    private final Set<String> votes = new HashSet<>();
    private long round;
    private long roundStartNanos;
    private boolean roundStarted;
    private boolean acquired;
    private long untilNanos;
    private long takeoverUntilNanos;

    /** Applies a voter set; if it differs from the last one, the lease is dropped. */
    public void changeVoters(VoterSet newVoters) {
        if (voters.equals(newVoters)) {
            return;
        }
        voters = newVoters;
        reset();
    }

    /** Drops the lease and the vote round in progress. */
    public void reset() {
        acquired = false;
        roundStarted = false;
        votes.clear();
    }

    /** Returns whether the next vote round is due. */
    public boolean isRoundDue(long nowNanos) {
        return voters.isLargeEnough()
                && (!roundStarted || nowNanos - roundStartNanos >= FloorTiming.LEASE_RENEWAL.toNanos());
    }

    /** Starts a vote round and returns its number; the requests must be sent after this call. */
    public long startRound(long nowNanos) {
        round++;
        roundStartNanos = nowNanos;
        roundStarted = true;
        votes.clear();
        return round;
    }

    /** Counts a vote; a vote of another round than the latest is ignored. */
    public void onVote(String voter, long voteRound, long nowNanos) {
        if (!roundStarted || voteRound != round || !voters.contains(voter)) {
            return;
        }
        votes.add(voter);
        if (votes.size() < voters.quorum()) {
            return;
        }
        if (!isHeld(nowNanos)) {
            takeoverUntilNanos = nowNanos + FloorTiming.issuerNanos(FloorTiming.GRANT_DURATION);
        }
        acquired = true;
        untilNanos = roundStartNanos + FloorTiming.LEASE_DURATION.toNanos();
    }

    /** Returns whether this VM is the granter now. */
    public boolean isHeld(long nowNanos) {
        return acquired && nowNanos - untilNanos < 0;
    }

    /** Returns whether grants of a former granter may still be live, so that no new grant may be issued. */
    public boolean isTakingOver(long nowNanos) {
        return nowNanos - takeoverUntilNanos < 0;
    }

    /** Returns the current voter set. */
    public VoterSet voters() {
        return voters;
    }
}
