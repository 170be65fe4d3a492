package io.coppershelf.floor.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.floor.internal.LeaseVoter.Candidate;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that a voter casts one vote at a time and none that may conflict with a vote it has no record of. */
class LeaseVoterTest {
    private static final VoterSet SET = new VoterSet(List.of("a", "b", "c", "d", "e"));
    private static final VoterSet OTHER_SET = new VoterSet(List.of("a", "b", "c", "d", "f"));
    private static final Candidate A = new Candidate("a", 1);
    private static final long LEASE_NANOS = FloorTiming.issuerNanos(FloorTiming.LEASE_DURATION);

    private final LeaseVoter voter = new LeaseVoter(0);

    private boolean vote(VoterSet own, VoterSet requested, Candidate candidate, long now) {
        return voter.vote("s", own, requested, candidate, now);
    }

    @Test
    void abstainsForOneLeaseAfterItsStart() {
        assertThat(vote(SET, SET, A, LEASE_NANOS - 1)).isFalse();
        assertThat(vote(SET, SET, A, LEASE_NANOS)).isTrue();
    }

    @Test
    void abstainsForOneLeaseAfterAPause() {
        voter.abstain(3 * LEASE_NANOS);
        assertThat(vote(SET, SET, A, 4 * LEASE_NANOS - 1)).isFalse();
        assertThat(vote(SET, SET, A, 4 * LEASE_NANOS)).isTrue();
    }

    @Test
    void abstainsForOneLeaseAfterAChangeOfItsVoterSet() {
        assertThat(vote(SET, SET, A, LEASE_NANOS)).isTrue();
        voter.updateVoterSet("s", OTHER_SET, 3 * LEASE_NANOS);
        assertThat(vote(OTHER_SET, OTHER_SET, A, 4 * LEASE_NANOS - 1)).isFalse();
        assertThat(vote(OTHER_SET, OTHER_SET, A, 4 * LEASE_NANOS)).isTrue();
    }

    @Test
    void votesForOneCandidateAtATimeAndTreatsARestartedCandidateAsAnother() {
        assertThat(vote(SET, SET, A, LEASE_NANOS)).isTrue();
        assertThat(vote(SET, SET, new Candidate("b", 1), 2 * LEASE_NANOS - 1)).isFalse();
        assertThat(vote(SET, SET, new Candidate("a", 2), 2 * LEASE_NANOS - 1)).isFalse();
        assertThat(vote(SET, SET, new Candidate("b", 1), 2 * LEASE_NANOS)).isTrue();
    }

    @Test
    void refusesAnotherVoterSetAndCandidatesOutsideItAndSetsOfTwo() {
        VoterSet two = new VoterSet(List.of("a", "b"));
        assertThat(vote(SET, OTHER_SET, A, LEASE_NANOS)).isFalse();
        assertThat(vote(SET, SET, new Candidate("x", 1), LEASE_NANOS)).isFalse();
        assertThat(vote(two, two, A, 5 * LEASE_NANOS)).isFalse();
    }
}
