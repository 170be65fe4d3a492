package io.coppershelf.floor.internal;

import java.util.HashSet;
import java.util.Set;

/**
 * The lease under which one VM is the granter of a service, won and kept by rounds of votes.
 *
 * <p>The lease counts from before the requests of a round were sent. Once it is won anew, a takeover time follows in
 * which rights of a former granter may still be live.
 *
 * @see <a href="https://dl.acm.org/doi/10.1145/74850.74870">Gray and Cheriton, Leases, SOSP 1989</a>
 */
public final class GranterLease {
    private VoterSet voters = new VoterSet(java.util.List.of());
    private final Set<String> votes = new HashSet<>();
    private long round;
    private long roundStartNanos;
    private boolean asked;
    private boolean won;
    private long untilNanos;
    private long takeoverUntilNanos;

    /** Takes over the voter set in force; the lease of another set is dropped. */
    public void changeVoters(VoterSet now) {
        if (voters.equals(now)) {
            return;
        }
        voters = now;
        drop();
    }

    /** Drops the lease and the round under way. */
    public void drop() {
        won = false;
        asked = false;
        votes.clear();
    }

    /** Returns whether it is time for a round of votes. */
    public boolean isRoundDue(long nowNanos) {
        return voters.isLargeEnough() && (!asked || nowNanos - roundStartNanos >= FloorTiming.LEASE_RENEWAL.toNanos());
    }

    /** Starts a round and returns its number; the requests are to be sent afterwards. */
    public long startRound(long nowNanos) {
        round++;
        roundStartNanos = nowNanos;
        asked = true;
        votes.clear();
        return round;
    }

    /** Counts a vote of the given round. */
    public void onVote(String voter, long ofRound, long nowNanos) {
        if (!asked || ofRound != round || !voters.contains(voter)) {
            return;
        }
        votes.add(voter);
        if (votes.size() < voters.quorum()) {
            return;
        }
        if (!isHeld(nowNanos)) {
            takeoverUntilNanos = nowNanos + FloorTiming.issuerNanos(FloorTiming.GRANT_DURATION);
        }
        won = true;
        untilNanos = roundStartNanos + FloorTiming.LEASE_DURATION.toNanos();
    }

    /** Returns whether this VM is the granter now. */
    public boolean isHeld(long nowNanos) {
        return won && nowNanos - untilNanos < 0;
    }

    /** Returns whether rights of a former granter may still be live, so that no new right may be granted. */
    public boolean isTakingOver(long nowNanos) {
        return nowNanos - takeoverUntilNanos < 0;
    }

    /** Returns the voter set in force. */
    public VoterSet voters() {
        return voters;
    }
}
