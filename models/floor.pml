/*
 * The grants that protect the floor: over the whole fleet, no more servers of a service are ejected at once
 * than its allowance. A grant is the time-limited right to eject one server.
 *
 * The model has two candidates for granter, two holders with one server each, and three voters that both candidates share.
 * The voter set of each candidate has two more members, which the other one's set lacks (two views of the VM list that
 * differ in two of five voters). These always vote for their candidate, which is the worst case, so QUORUM = 2 of the four
 * votes that a candidate needs come from the three shared voters.
 *
 * Votes (leases) and grants are timers in ticks. The process that uses one counts from before its request, the process that
 * issued it counts from the receipt of the request. Clock rates are not part of this model; GIVER_SHORT shows the effect of
 * an issuer that counts a shorter time than the user. A pause is a process that takes no step while time passes. A network
 * partition is a set of messages that are lost.
 *
 * The lease is generalised: a candidate is granter while it may use the votes of QUORUM voters, each with its own time.
 * A lease by rounds, as in the code, ends no later.
 *
 * A vote that its candidate receives late (LATE_VOTES) or never only shortens the time for which the candidate may use it.
 *
 * Steps: VoteRequest, GrantRequest, GrantReply, GrantRelease, Restart, ChangeView, LearnTicket. Messages are named as in the
 * code.
 *
 * Properties:
 *   P1  never more live grants than the allowance;
 *   P2  (RAISE, where the voters change their view together) once every process has the ticket that lowers the allowance,
 *       no more grants than that are live.
 *
 * bounds: 2 candidates, 2 holders, 3 shared of 7 voters, 2 views, lease and grant of 2 ticks, time unbounded, restarts as given, messages lost, late up to a grant
 * check: right RESTARTS=1
 * check: right RESTARTS=0,RELEASES
 * check: right RESTARTS=0,RAISE
 * check: right RESTARTS=0,LATE_VOTES
 * check: broken RESTARTS=1,QUORUM=1
 * check: broken RESTARTS=2,NO_ABSTENTION
 * check: broken RESTARTS=0,BALLOT_PER_SET
 * check: broken RESTARTS=0,NO_TAKEOVER_TIME
 * check: broken RESTARTS=1,RENEW_COUNTED
 * check: broken RESTARTS=0,NO_LEASE_CHECK
 * check: broken RESTARTS=0,COUNT_FROM_RECEIPT
 * check: broken RESTARTS=1,PROLONG_LAPSED
 * check: broken RESTARTS=0,GIVER_SHORT
 * check: broken RESTARTS=0,RELEASES,ANY_RELEASE
 * check: broken RESTARTS=0,RAISE,KEEP_ON_TICKET
 * check: broken RESTARTS=0,REACH_RENEWAL_BY_OTHER
 */
#ifndef QUORUM
#define QUORUM 2
#endif
#define LEASE 2
#define GRANT 2
#ifdef GIVER_SHORT
#define GIVEN_GRANT (GRANT - 1)
#else
#define GIVEN_GRANT GRANT
#endif
#ifdef NO_ABSTENTION
#define ABSTENTION 0
#else
#define ABSTENTION LEASE
#endif
#define NONE 3       /* no vote, or no request in progress */

byte vote[3] = NONE; /* the candidate for which the voter has voted */
byte voteLeft[3];    /* ticks until the vote ends */
byte abstain[3];     /* ticks until the voter votes again */
bit view[3];         /* the candidate whose voter set is the voter's current view */

byte usableVote[6];   /* ticks for which a candidate may use the vote of a voter: 3 * candidate + voter */
byte takeover[2];     /* ticks in which a candidate only renews */
byte countedGrant[4]; /* ticks for which a candidate counts the grant of a holder: 2 * candidate + holder */

byte usableGrant[2];       /* ticks for which the holder may use its grant */
byte requestAge[2] = NONE; /* ticks since the holder's request */
bit liveAtRequest[2];      /* whether its grant was live at the request */
byte reply[2];             /* grant in flight: 0 none, otherwise 1 + candidate */
#ifdef REACH_RENEWAL_BY_OTHER
byte grantedBy[2] = NONE; /* the candidate that issued the last grant */
#endif

byte restarts = RESTARTS;
#ifdef RELEASES
bit releaseInFlight[4]; /* 2 * candidate + holder */
#endif
#ifdef RAISE
bit ticketKnown[4]; /* whether candidate 0, 1, holder 0, 1 have the ticket */
#define ALLOWANCE_OF(p) (ticketKnown[p] -> 1 : 2)
#else
#define ALLOWANCE_OF(p) 1
#endif

#define HELD0 ((usableVote[0] > 0) + (usableVote[1] > 0) + (usableVote[2] > 0) >= QUORUM)
#define HELD1 ((usableVote[3] > 0) + (usableVote[4] > 0) + (usableVote[5] > 0) >= QUORUM)
#define HELD(c) ((c == 0 && HELD0) || (c == 1 && HELD1))
#ifdef NO_LEASE_CHECK
#define MAY_DECIDE(c) (HELD(c) || countedGrant[2 * c] > 0 || countedGrant[2 * c + 1] > 0)
#else
#define MAY_DECIDE(c) HELD(c)
#endif
#define OTHER(h) (1 - h)

#ifdef NO_TAKEOVER_TIME
#define TAKEOVER 0
#else
#define TAKEOVER GRANT
#endif

#ifdef RAISE
#define SAFE !(usableGrant[0] > 0 && usableGrant[1] > 0 && ticketKnown[0] && ticketKnown[1] && ticketKnown[2] && ticketKnown[3])  /* P2 */
#else
#define SAFE !(usableGrant[0] > 0 && usableGrant[1] > 0)  /* P1 */
#endif

#define MAY_VOTE(i, c) (view[i] == c && abstain[i] == 0 && (vote[i] == c || voteLeft[i] == 0))

/* The voter votes for the candidate, which receives the vote when it may use it for `left` more ticks. */
inline VoteRequest(i, c, left) {
    d_step {
        MAY_VOTE(i, c) && usableVote[3 * c + i] < left ->
            vote[i] = c;
            voteLeft[i] = LEASE;
            if
            :: HELD(c) -> usableVote[3 * c + i] = left
            :: else ->
                usableVote[3 * c + i] = left;
                if
                :: HELD(c) -> takeover[c] = TAKEOVER
                :: else -> skip
                fi
            fi
    }
}

active [3] proctype Voter() {
    byte me = _pid;
    do
    :: VoteRequest(me, 0, LEASE)
    :: VoteRequest(me, 1, LEASE)
#ifdef LATE_VOTES
    :: VoteRequest(me, 0, LEASE - 1)
    :: VoteRequest(me, 1, LEASE - 1)
#endif
    /* ChangeView: from the voter set of candidate 0 to that of candidate 1; the vote stays. */
#ifdef RAISE
    :: d_step {
        me == 0 && view[0] == 0 ->
            view[0] = 1; view[1] = 1; view[2] = 1;
            abstain[0] = LEASE; abstain[1] = LEASE; abstain[2] = LEASE
       }
#else
    :: d_step {
        view[me] == 0 ->
            view[me] = 1;
#ifdef BALLOT_PER_SET
            vote[me] = NONE; voteLeft[me] = 0
#else
            abstain[me] = LEASE
#endif
       }
#endif
    /* Restart: loses its state; its view may be the voter set of either candidate. */
    :: d_step { restarts > 0 -> restarts--; vote[me] = NONE; voteLeft[me] = 0; abstain[me] = ABSTENTION }
    :: d_step {
        restarts > 0 && view[me] == 0 ->
            restarts--; vote[me] = NONE; voteLeft[me] = 0; abstain[me] = ABSTENTION; view[me] = 1
       }
    od
}

#ifdef RENEW_COUNTED
#define MAY_GRANT(c, h) (takeover[c] == 0 || liveAtRequest[h] || countedGrant[2 * c + h] > 0)
#else
#define MAY_GRANT(c, h) (takeover[c] == 0 || liveAtRequest[h])
#endif

#if defined(RELEASES) && !defined(ANY_RELEASE)
#define FORGET_RELEASE(c, h) releaseInFlight[2 * c + h] = 0
#else
#define FORGET_RELEASE(c, h) skip
#endif

/* The candidate decides on the request of a holder. */
inline GrantRequest(c, h) {
    d_step {
        requestAge[h] < GRANT && reply[h] == 0 && MAY_DECIDE(c) &&
            MAY_GRANT(c, h) &&
            (countedGrant[2 * c + OTHER(h)] == 0 || (ALLOWANCE_OF(c) == 2 && ALLOWANCE_OF(2 + h) == 2)) ->
            countedGrant[2 * c + h] = GIVEN_GRANT;
            FORGET_RELEASE(c, h);
            reply[h] = 1 + c
    }
}

active [2] proctype Candidate() {
    byte me = _pid - 3;
    do
    :: GrantRequest(me, 0)
    :: GrantRequest(me, 1)
#ifdef RELEASES
    :: d_step { releaseInFlight[2 * me] -> releaseInFlight[2 * me] = 0; countedGrant[2 * me] = 0 }
    :: d_step { releaseInFlight[2 * me + 1] -> releaseInFlight[2 * me + 1] = 0; countedGrant[2 * me + 1] = 0 }
#endif
#ifdef RAISE
    :: d_step { !ticketKnown[me] -> ticketKnown[me] = 1; assert(SAFE) }
#endif
    :: d_step {
        restarts > 0 ->
            restarts--;
            countedGrant[2 * me] = 0; countedGrant[2 * me + 1] = 0; takeover[me] = 0;
            if
            :: me == 0 -> usableVote[0] = 0; usableVote[1] = 0; usableVote[2] = 0
            :: else -> usableVote[3] = 0; usableVote[4] = 0; usableVote[5] = 0
            fi
       }
    od
}

active [2] proctype Holder() {
    byte me = _pid - 5;
    do
    /* Request a grant or renew it; replies to earlier requests are ignored. */
    :: d_step {
        requestAge[me] == NONE && usableGrant[me] < GRANT ->
            requestAge[me] = 0; liveAtRequest[me] = (usableGrant[me] > 0); reply[me] = 0
       }
    /* GrantReply. */
    :: d_step {
        requestAge[me] < GRANT && reply[me] > 0 ->
            if
#ifndef PROLONG_LAPSED
            :: liveAtRequest[me] && usableGrant[me] == 0 -> skip
#endif
            :: else ->
#ifdef REACH_RENEWAL_BY_OTHER
                assert(!(usableGrant[me] > 0 && grantedBy[me] != reply[me] - 1));
                grantedBy[me] = reply[me] - 1;
#endif
#ifdef COUNT_FROM_RECEIPT
                usableGrant[me] = GRANT
#else
                usableGrant[me] = GRANT - requestAge[me]
#endif
            fi;
            requestAge[me] = NONE; liveAtRequest[me] = 0; reply[me] = 0;
            assert(SAFE)
       }
    /* The request or its reply is lost, or the request times out at the holder. */
    :: d_step { requestAge[me] != NONE -> requestAge[me] = NONE; liveAtRequest[me] = 0; reply[me] = 0 }
#ifdef RELEASES
    :: d_step {
        usableGrant[me] > 0 ->
            usableGrant[me] = 0; requestAge[me] = NONE; liveAtRequest[me] = 0; reply[me] = 0;
            releaseInFlight[me] = 1; releaseInFlight[2 + me] = 1
       }
#endif
#ifdef RAISE
    :: d_step {
        !ticketKnown[2 + me] ->
            ticketKnown[2 + me] = 1;
#ifndef KEEP_ON_TICKET
            usableGrant[me] = 0; requestAge[me] = NONE; liveAtRequest[me] = 0; reply[me] = 0;
#endif
            assert(SAFE)
       }
#endif
    :: d_step { restarts > 0 -> restarts--; usableGrant[me] = 0; requestAge[me] = NONE; liveAtRequest[me] = 0; reply[me] = 0 }
    od
}

inline Tick(timer) {
    if
    :: timer > 0 -> timer--
    :: else -> skip
    fi
}

inline AgeRequest(h) {
    if
    :: requestAge[h] < GRANT - 1 -> requestAge[h]++
    :: else -> requestAge[h] = NONE; liveAtRequest[h] = 0; reply[h] = 0
    fi
}

active proctype Clock() {
    do
    :: d_step {
        Tick(voteLeft[0]); Tick(voteLeft[1]); Tick(voteLeft[2]);
        Tick(abstain[0]); Tick(abstain[1]); Tick(abstain[2]);
        Tick(usableVote[0]); Tick(usableVote[1]); Tick(usableVote[2]);
        Tick(usableVote[3]); Tick(usableVote[4]); Tick(usableVote[5]);
        Tick(takeover[0]); Tick(takeover[1]);
        Tick(countedGrant[0]); Tick(countedGrant[1]); Tick(countedGrant[2]); Tick(countedGrant[3]);
        Tick(usableGrant[0]); Tick(usableGrant[1]);
        AgeRequest(0); AgeRequest(1);
        if
        :: voteLeft[0] == 0 -> vote[0] = NONE
        :: else -> skip
        fi;
        if
        :: voteLeft[1] == 0 -> vote[1] = NONE
        :: else -> skip
        fi;
        if
        :: voteLeft[2] == 0 -> vote[2] = NONE
        :: else -> skip
        fi
       }
    od
}
