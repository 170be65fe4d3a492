/*
 * The floor's right: at most ALLOWANCE servers of a service are ejected at once, over the whole fleet.
 *
 * Two candidates for granter, two holders with one server each, three shared voters. Each candidate's voter set has two
 * more members that the other one's has not (two views of the list that differ in two of five voters). These always vote
 * for their candidate, which is the worst case, so that of its four votes QUORUM = 2 come from the three shared voters.
 *
 * A promise is a timer in ticks. Who uses it counts from before it asked, who gave it from receipt. Clock rates are not
 * part of this model; GIVER_SHORT shows what a giver does that counts less than the user. A pause is a process that does
 * nothing while time passes. A split is a set of messages that are lost.
 *
 * The lease is generalised: a candidate is granter while promises of QUORUM voters are live, each with its own time.
 * A lease by rounds, as in the code, ends no later.
 *
 * A vote that its candidate hears late (LATE_VOTES) or never only shortens what the candidate may use.
 *
 * Steps, named as in the code: VoteRequest, RightRequest, RightReply, RightRelease, Restart, ChangeView, LearnTicket.
 *
 * Properties:
 *   P1  never more live rights than the allowance;
 *   P2  (RAISE, where the voters change their view together) once every process knows the ticket that lowers the allowance, no more rights than that are live.
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
#define NONE 3       /* no request under way */

byte vote[3] = NONE; /* the candidate that has the voter's vote */
byte voteLeft[3];    /* ticks until the vote ends */
byte abstain[3];     /* ticks until the voter votes again */
bit view[3];         /* the voter set in the view of the voter, named by its candidate */

byte promise[6];     /* ticks for which a candidate may use the vote of a voter: 3 * candidate + voter */
byte takeover[2];    /* ticks in which a candidate only renews */
byte ledger[4];      /* ticks for which a candidate counts the right of a holder: 2 * candidate + holder */

byte right[2];       /* ticks for which the holder may use its right */
byte age[2] = NONE;  /* ticks since the holder asked */
bit live[2];         /* whether its right was live then */
byte reply[2];       /* 0 none, 1 + candidate: a grant is on its way */
#ifdef REACH_RENEWAL_BY_OTHER
byte source[2] = NONE; /* the candidate that granted last */
#endif

byte restarts = RESTARTS;
#ifdef RELEASES
bit released[4];     /* a release is on its way */
#endif
#ifdef RAISE
bit knows[4];        /* candidate 0, 1, holder 0, 1 know the ticket */
#define ALLOWANCE_OF(p) (knows[p] -> 1 : 2)
#else
#define ALLOWANCE_OF(p) 1
#endif

#define HELD0 ((promise[0] > 0) + (promise[1] > 0) + (promise[2] > 0) >= QUORUM)
#define HELD1 ((promise[3] > 0) + (promise[4] > 0) + (promise[5] > 0) >= QUORUM)
#define HELD(c) ((c == 0 && HELD0) || (c == 1 && HELD1))
#ifdef NO_LEASE_CHECK
#define MAY_DECIDE(c) (HELD(c) || ledger[2 * c] > 0 || ledger[2 * c + 1] > 0)
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
#define SAFE !(right[0] > 0 && right[1] > 0 && knows[0] && knows[1] && knows[2] && knows[3])  /* P2 */
#else
#define SAFE !(right[0] > 0 && right[1] > 0)  /* P1 */
#endif

#define MAY_VOTE(i, c) (view[i] == c && abstain[i] == 0 && (vote[i] == c || voteLeft[i] == 0))

/* The voter gives its vote; the candidate hears it after so many ticks that `left` are left of it. */
inline VoteRequest(i, c, left) {
    d_step {
        MAY_VOTE(i, c) && promise[3 * c + i] < left ->
            vote[i] = c;
            voteLeft[i] = LEASE;
            if
            :: HELD(c) -> promise[3 * c + i] = left
            :: else ->
                promise[3 * c + i] = left;
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
    /* ChangeView: from the list of candidate 0 to that of candidate 1; the vote stays. */
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
    /* Restart without memory, with the list of either candidate. */
    :: d_step { restarts > 0 -> restarts--; vote[me] = NONE; voteLeft[me] = 0; abstain[me] = ABSTENTION }
    :: d_step {
        restarts > 0 && view[me] == 0 ->
            restarts--; vote[me] = NONE; voteLeft[me] = 0; abstain[me] = ABSTENTION; view[me] = 1
       }
    od
}

#ifdef RENEW_COUNTED
#define MAY_GRANT(c, h) (takeover[c] == 0 || live[h] || ledger[2 * c + h] > 0)
#else
#define MAY_GRANT(c, h) (takeover[c] == 0 || live[h])
#endif

#if defined(RELEASES) && !defined(ANY_RELEASE)
#define FORGET_RELEASE(c, h) released[2 * c + h] = 0
#else
#define FORGET_RELEASE(c, h) skip
#endif

/* The candidate decides on the request of a holder. */
inline RightRequest(c, h) {
    d_step {
        age[h] < GRANT && reply[h] == 0 && MAY_DECIDE(c) &&
            MAY_GRANT(c, h) &&
            (ledger[2 * c + OTHER(h)] == 0 || (ALLOWANCE_OF(c) == 2 && ALLOWANCE_OF(2 + h) == 2)) ->
            ledger[2 * c + h] = GIVEN_GRANT;
            FORGET_RELEASE(c, h);
            reply[h] = 1 + c
    }
}

active [2] proctype Candidate() {
    byte me = _pid - 3;
    do
    :: RightRequest(me, 0)
    :: RightRequest(me, 1)
#ifdef RELEASES
    :: d_step { released[2 * me] -> released[2 * me] = 0; ledger[2 * me] = 0 }
    :: d_step { released[2 * me + 1] -> released[2 * me + 1] = 0; ledger[2 * me + 1] = 0 }
#endif
#ifdef RAISE
    :: d_step { !knows[me] -> knows[me] = 1; assert(SAFE) }
#endif
    :: d_step {
        restarts > 0 ->
            restarts--;
            ledger[2 * me] = 0; ledger[2 * me + 1] = 0; takeover[me] = 0;
            if
            :: me == 0 -> promise[0] = 0; promise[1] = 0; promise[2] = 0
            :: else -> promise[3] = 0; promise[4] = 0; promise[5] = 0
            fi
       }
    od
}

active [2] proctype Holder() {
    byte me = _pid - 5;
    do
    /* Ask for the right, or renew it; answers to earlier requests are ignored. */
    :: d_step { age[me] == NONE && right[me] < GRANT -> age[me] = 0; live[me] = (right[me] > 0); reply[me] = 0 }
    /* RightReply. */
    :: d_step {
        age[me] < GRANT && reply[me] > 0 ->
            if
#ifndef PROLONG_LAPSED
            :: live[me] && right[me] == 0 -> skip
#endif
            :: else ->
#ifdef REACH_RENEWAL_BY_OTHER
                assert(!(right[me] > 0 && source[me] != reply[me] - 1));
                source[me] = reply[me] - 1;
#endif
#ifdef COUNT_FROM_RECEIPT
                right[me] = GRANT
#else
                right[me] = GRANT - age[me]
#endif
            fi;
            age[me] = NONE; live[me] = 0; reply[me] = 0;
            assert(SAFE)
       }
    /* The request or its answer is lost, or the holder gives up waiting. */
    :: d_step { age[me] != NONE -> age[me] = NONE; live[me] = 0; reply[me] = 0 }
#ifdef RELEASES
    :: d_step {
        right[me] > 0 ->
            right[me] = 0; age[me] = NONE; live[me] = 0; reply[me] = 0;
            released[me] = 1; released[2 + me] = 1
       }
#endif
#ifdef RAISE
    :: d_step {
        !knows[2 + me] ->
            knows[2 + me] = 1;
#ifndef KEEP_ON_TICKET
            right[me] = 0; age[me] = NONE; live[me] = 0; reply[me] = 0;
#endif
            assert(SAFE)
       }
#endif
    :: d_step { restarts > 0 -> restarts--; right[me] = 0; age[me] = NONE; live[me] = 0; reply[me] = 0 }
    od
}

inline Pass(timer) {
    if
    :: timer > 0 -> timer--
    :: else -> skip
    fi
}

inline Grow(h) {
    if
    :: age[h] < GRANT - 1 -> age[h]++
    :: else -> age[h] = NONE; live[h] = 0; reply[h] = 0
    fi
}

active proctype Clock() {
    do
    :: d_step {
        Pass(voteLeft[0]); Pass(voteLeft[1]); Pass(voteLeft[2]);
        Pass(abstain[0]); Pass(abstain[1]); Pass(abstain[2]);
        Pass(promise[0]); Pass(promise[1]); Pass(promise[2]);
        Pass(promise[3]); Pass(promise[4]); Pass(promise[5]);
        Pass(takeover[0]); Pass(takeover[1]);
        Pass(ledger[0]); Pass(ledger[1]); Pass(ledger[2]); Pass(ledger[3]);
        Pass(right[0]); Pass(right[1]);
        Grow(0); Grow(1);
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
