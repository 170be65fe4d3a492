package io.coppershelf.floor.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.floor.internal.LeaseVoter.Candidate;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A voter gives one vote at a time and none that could clash with one it forgot. */
class LeaseVoterTest {
    private static final VoterSet SET = new VoterSet(List.of("a", "b", "c", "d", "e"));
    private static final VoterSet OTHER = new VoterSet(List.of("a", "b", "c", "d", "f"));
    private static final Candidate A = new Candidate("a", 1);
    private static final long LEASE = FloorTiming.issuerNanos(FloorTiming.LEASE_DURATION);

    private final LeaseVoter voter = new LeaseVoter(0);

    private boolean vote(VoterSet own, VoterSet requested, Candidate candidate, long now) {
        return voter.vote("s", own, requested, candidate, now);
    }

    @Test
    void abstainsForOneLeaseAfterItsStart() {
        assertThat(vote(SET, SET, A, LEASE - 1)).isFalse();
        assertThat(vote(SET, SET, A, LEASE)).isTrue();
    }

    @Test
    void abstainsForOneLeaseAfterAPause() {
        voter.abstain(3 * LEASE);
        assertThat(vote(SET, SET, A, 4 * LEASE - 1)).isFalse();
        assertThat(vote(SET, SET, A, 4 * LEASE)).isTrue();
    }

    @Test
    void abstainsForOneLeaseAfterAChangeOfItsSet() {
        assertThat(vote(SET, SET, A, LEASE)).isTrue();
        voter.updateVoterSet("s", OTHER, 3 * LEASE);
        assertThat(vote(OTHER, OTHER, A, 4 * LEASE - 1)).isFalse();
        assertThat(vote(OTHER, OTHER, A, 4 * LEASE)).isTrue();
    }

    @Test
    void givesOneVoteATimeAndCountsARestartedCandidateAsAnother() {
        assertThat(vote(SET, SET, A, LEASE)).isTrue();
        assertThat(vote(SET, SET, new Candidate("b", 1), 2 * LEASE - 1)).isFalse();
        assertThat(vote(SET, SET, new Candidate("a", 2), 2 * LEASE - 1)).isFalse();
        assertThat(vote(SET, SET, new Candidate("b", 1), 2 * LEASE)).isTrue();
    }

    @Test
    void refusesAnotherSetAndStrangersAndSetsOfTwo() {
        VoterSet two = new VoterSet(List.of("a", "b"));
        assertThat(vote(SET, OTHER, A, LEASE)).isFalse();
        assertThat(vote(SET, SET, new Candidate("x", 1), LEASE)).isFalse();
        assertThat(vote(two, two, A, 5 * LEASE)).isFalse();
    }
}
