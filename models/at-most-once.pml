/*
 * At-most-once execution with correct results: the same request with one idempotency key arrives at two entry VMs, each of
 * which claims the key for its attempt at five holders and forwards the attempt to an owner VM, which dispatches it to one
 * backend server.
 *
 * Holders that never restart are interchangeable, so the model keeps only the number of them in each state. The NAMED
 * others are modelled one by one; each restarts at most once.
 *
 * Steps: Receive, ClaimRequest, ClaimCompletion, ClaimTimeout, Forward, OwnerReceives, OwnerRefuses, Dispatch,
 * ServerReceives, ServerRuns, Cancel, ServerAnswers, Reply, ReplyTimeout, EntryLost, OwnerLost, HolderRestart, HolderPull.
 * A message in flight may be handled late or never; replies to claims may be lost.
 *
 * Properties:
 *   P1  the request runs at most once, over all attempts;
 *   P2  an attempt that was reported as not run has not run and never will;
 *   P3  an attempt that was reported as run has run.
 *
 * bounds: 2 attempts by 2 entry VMs, 5 holders of which NAMED may restart once each, 1 entry VM and 1 owner lost
 * check: right NAMED=0
 * check: right NAMED=1
 * check: right NAMED=0,QUORUM=3
 * check: broken NAMED=0,QUORUM=2
 * check: broken NAMED=0,NO_CLAIM
 * check: broken NAMED=0,UNKNOWN_FREES
 * check: broken NAMED=0,FORWARD_AGAIN
 * check: broken NAMED=0,LOST_IS_NOT_RUN
 * check: broken NAMED=0,CANCEL_UNSEEN
 * check: broken NAMED=0,GIVEN_UP_GOES_ON
 * check: broken NAMED=1,QUORUM=3
 * check: broken NAMED=1,QUORUM=3,NO_PULL
 * check: broken NAMED=0,REACH_SECOND_RUN
 */
#ifndef QUORUM
#define QUORUM 4
#endif
#define HOLDERS 5
#define STATES 16    /* of a holder: 4 * its record of attempt 0 + its record of attempt 1 */
#define SLOTS (NAMED + 1)

/* The record that a holder has of an attempt; a larger value replaces a smaller one. */
#define UNHEARD 0    /* no record */
#define RUNNING 1
#define NOT_RUN 2
#define DONE 3       /* ran, or ended with an unknown outcome */

/* The states of an attempt at its entry VM. */
#define IDLE 0
#define CLAIMING 1
#define CLAIMED 2
#define FORWARDED 3
#define ENDED 4
#define LOST 5

byte attemptState[2];         /* one of the states above */
byte acceptances[2];          /* holders whose acceptance has reached the entry VM */
byte reported[2];             /* outcome reported to the caller: UNHEARD none or unknown, NOT_RUN, DONE ran */
byte announcedEnd[2];         /* end of the attempt that is announced to the holders, UNHEARD if none */
byte holders[STATES];         /* unnamed holders in each state */
byte named[2 * SLOTS];        /* record of a named holder: 2 * holder + attempt */
bit claimReceived[2 * SLOTS]; /* the claim request has reached it, before or after its restart */
bit historyKnown[SLOTS] = 1;  /* it has the claim history that it needs to accept claims */
bit restarted[SLOTS];

byte forwards[2];   /* forwards in flight to an owner */
byte queued[2];     /* owners that hold the attempt */
byte dispatched[2]; /* dispatches in flight to the server */
byte atServer[2];   /* dispatches that the server has received and not started */
bit ran[2];
byte runs;
byte reply[2]; /* reply in flight to the entry VM: UNHEARD none, NOT_RUN, DONE */

#ifdef FORWARD_AGAIN
bit forwardedTwice[2];
#endif

byte entriesToLose = 1;
byte ownersToLose = 1;

#define OTHER(a) (1 - a)
#define KNOWN(state, a) (a == 0 -> state / 4 : state % 4)
#define WEIGHT(a) (a == 0 -> 4 : 1)
#define IS_FREE(outcome) (outcome == UNHEARD || outcome == NOT_RUN)

inline Report(a, outcome) {
    reported[a] = outcome;
    assert(!(outcome == NOT_RUN && ran[a]));                              /* P2 */
    assert(!(outcome == DONE && !ran[a]))                                 /* P3 */
}

inline End(a, toHolders) {
    attemptState[a] = ENDED;
    announcedEnd[a] = toHolders
}

inline Accept(a) {
    if
    :: attemptState[a] == CLAIMING ->
        acceptances[a]++;
        if
        :: acceptances[a] >= QUORUM -> attemptState[a] = CLAIMED
        :: else -> skip
        fi
    :: else -> skip
    fi
}

#define CLAIM_SENT(a) (attemptState[a] != IDLE && attemptState[a] != LOST)

/* A holder handles a claim request, at once or late; its reply counts only while the claim is open. */
inline ClaimRequest(state, a) {
    d_step {
        holders[state] > 0 && CLAIM_SENT(a) && KNOWN(state, a) == UNHEARD && IS_FREE(KNOWN(state, OTHER(a))) ->
            holders[state]--;
            holders[state + WEIGHT(a)]++;
            Accept(a)
    }
}

/* A holder refuses, since another attempt may have run; the entry VM ends the attempt. */
inline ClaimRefused(state, a) {
    d_step {
        holders[state] > 0 && attemptState[a] == CLAIMING &&
            KNOWN(state, a) == UNHEARD && !IS_FREE(KNOWN(state, OTHER(a))) ->
            End(a, NOT_RUN)
    }
}

/* A holder receives the end of an attempt. */
inline ClaimCompletion(state, a) {
    d_step {
        holders[state] > 0 && announcedEnd[a] > KNOWN(state, a) ->
            holders[state]--;
            holders[WEIGHT(a) * announcedEnd[a] + WEIGHT(OTHER(a)) * KNOWN(state, OTHER(a))]++
    }
}

active [2] proctype Entry() {
    byte me = _pid;
end:
    do
    :: d_step { attemptState[me] == IDLE && (me == 0 || attemptState[0] != IDLE) -> attemptState[me] = CLAIMING }       /* Receive */
#ifdef NO_CLAIM
    :: d_step { attemptState[me] == CLAIMING -> attemptState[me] = CLAIMED }
#endif
    /* ClaimTimeout: too few holders replied in time. */
    :: d_step { attemptState[me] == CLAIMING -> Report(me, NOT_RUN); End(me, NOT_RUN) }
    /* Forward, to any owner. If nothing could be sent, the attempt is known not to have run. */
    :: d_step { attemptState[me] == CLAIMED -> attemptState[me] = FORWARDED; forwards[me] = 1 }
    :: d_step { attemptState[me] == CLAIMED -> Report(me, NOT_RUN); End(me, NOT_RUN) }
#ifdef FORWARD_AGAIN
    :: d_step { attemptState[me] == FORWARDED && !forwardedTwice[me] -> forwards[me]++; forwardedTwice[me] = 1 }
#endif
    /* Reply. */
    :: d_step {
        attemptState[me] == FORWARDED && reply[me] != UNHEARD ->
            Report(me, reply[me]); End(me, reply[me]); reply[me] = UNHEARD
       }
    /* ReplyTimeout: the deadline passed or the owner was lost; the outcome is unknown. */
#ifdef LOST_IS_NOT_RUN
    :: d_step { attemptState[me] == FORWARDED -> Report(me, NOT_RUN); End(me, NOT_RUN) }
#elif defined(UNKNOWN_FREES)
    :: d_step { attemptState[me] == FORWARDED -> End(me, NOT_RUN) }
#else
    :: d_step { attemptState[me] == FORWARDED -> End(me, DONE) }
#endif
#ifdef GIVEN_UP_GOES_ON
    /* A late reply of a holder completes a claim that has already timed out. */
    :: d_step {
        attemptState[me] == ENDED && reported[me] == NOT_RUN && acceptances[me] == QUORUM - 1 ->
            attemptState[me] = CLAIMED
       }
#endif
    /* EntryLost. */
    :: d_step {
        entriesToLose > 0 && attemptState[me] > IDLE && attemptState[me] < ENDED ->
            entriesToLose--; attemptState[me] = LOST; reply[me] = UNHEARD
       }
    od
}

inline Holder(state) {
    if
    :: ClaimRequest(state, 0)
    :: ClaimRequest(state, 1)
    :: ClaimRefused(state, 0)
    :: ClaimRefused(state, 1)
    :: ClaimCompletion(state, 0)
    :: ClaimCompletion(state, 1)
    fi
}

active proctype Holders() {
    holders[0] = HOLDERS - NAMED;
end:
    do
    :: Holder(0)
    :: Holder(1)
    :: Holder(2)
    :: Holder(3)
    :: Holder(4)
    :: Holder(5)
    :: Holder(6)
    :: Holder(7)
    :: Holder(8)
    :: Holder(9)
    :: Holder(10)
    :: Holder(11)
    :: Holder(12)
    :: Holder(13)
    :: Holder(14)
    :: Holder(15)
    od
}

#if NAMED > 0
inline NamedClaimRequest(h, a) {
    d_step {
        CLAIM_SENT(a) && !claimReceived[2 * h + a] && historyKnown[h] &&
            named[2 * h + a] == UNHEARD && IS_FREE(named[2 * h + OTHER(a)]) ->
            claimReceived[2 * h + a] = 1;
            named[2 * h + a] = RUNNING;
            Accept(a)
    }
}

inline NamedClaimRefused(h, a) {
    d_step {
        attemptState[a] == CLAIMING && !claimReceived[2 * h + a] && historyKnown[h] && !IS_FREE(named[2 * h + OTHER(a)]) ->
            End(a, NOT_RUN)
    }
}

inline NamedClaimCompletion(h, a) {
    d_step { announcedEnd[a] > named[2 * h + a] -> named[2 * h + a] = announcedEnd[a] }
}

#define MAX(x, y) (x > y -> x : y)

inline Merge(h, state) {
    named[2 * h] = MAX(named[2 * h], KNOWN(state, 0));
    named[2 * h + 1] = MAX(named[2 * h + 1], KNOWN(state, 1))
}

/*
 * HolderPull: at most three holders may be lost or not reply, the restarted one included. So it needs the records of two
 * others that have their history.
 */
inline HolderPull(h, one, other) {
    d_step {
        !historyKnown[h] && holders[one] > (one == other) && holders[other] > 0 ->
            Merge(h, one);
            Merge(h, other);
            historyKnown[h] = 1
    }
}

inline HolderPullWith(h, one) {
    if
    :: HolderPull(h, one, 0)
    :: HolderPull(h, one, 1)
    :: HolderPull(h, one, 2)
    :: HolderPull(h, one, 3)
    :: HolderPull(h, one, 4)
    :: HolderPull(h, one, 5)
    :: HolderPull(h, one, 6)
    :: HolderPull(h, one, 7)
    :: HolderPull(h, one, 8)
    :: HolderPull(h, one, 9)
    :: HolderPull(h, one, 10)
    :: HolderPull(h, one, 11)
    :: HolderPull(h, one, 12)
    :: HolderPull(h, one, 13)
    :: HolderPull(h, one, 14)
    :: HolderPull(h, one, 15)
    fi
}

active [NAMED] proctype Named() {
    byte me = _pid - 3;
end:
    do
    :: NamedClaimRequest(me, 0)
    :: NamedClaimRequest(me, 1)
    :: NamedClaimRefused(me, 0)
    :: NamedClaimRefused(me, 1)
    :: NamedClaimCompletion(me, 0)
    :: NamedClaimCompletion(me, 1)
    /* HolderRestart: it loses its records, and accepts nothing before HolderPull. */
    :: d_step {
        !restarted[me] ->
            restarted[me] = 1;
            named[2 * me] = UNHEARD; named[2 * me + 1] = UNHEARD;
#ifndef NO_PULL
            historyKnown[me] = 0
#endif
       }
    :: HolderPullWith(me, 0)
    :: HolderPullWith(me, 1)
    :: HolderPullWith(me, 2)
    :: HolderPullWith(me, 3)
    :: HolderPullWith(me, 4)
    :: HolderPullWith(me, 5)
    :: HolderPullWith(me, 6)
    :: HolderPullWith(me, 7)
    :: HolderPullWith(me, 8)
    :: HolderPullWith(me, 9)
    :: HolderPullWith(me, 10)
    :: HolderPullWith(me, 11)
    :: HolderPullWith(me, 12)
    :: HolderPullWith(me, 13)
    :: HolderPullWith(me, 14)
    :: HolderPullWith(me, 15)
    od
}
#endif

inline Owner(a) {
    if
    /* OwnerReceives. */
    :: d_step { forwards[a] > 0 -> forwards[a]--; queued[a]++ }
    /* OwnerRefuses: overloaded or past its deadline, before the dispatch. */
    :: d_step { queued[a] > 0 -> queued[a]--; reply[a] = NOT_RUN }
    /* Dispatch. */
    :: d_step { queued[a] > 0 -> queued[a]--; dispatched[a]++ }
    /* OwnerLost: with the attempts that it holds or that are in flight to it. */
    :: d_step { ownersToLose > 0 && forwards[a] > 0 -> ownersToLose--; forwards[a]-- }
    :: d_step { ownersToLose > 0 && queued[a] > 0 -> ownersToLose--; queued[a]-- }
    fi
}

active proctype Owners() {
end:
    do
    :: Owner(0)
    :: Owner(1)
    od
}

inline Server(a) {
    if
    /* ServerReceives. */
    :: d_step { dispatched[a] > 0 -> dispatched[a]--; atServer[a]++ }
    /* ServerRuns. */
    :: d_step {
        atServer[a] > 0 ->
            atServer[a]--;
            ran[a] = 1;
            runs++;
            assert(runs <= 1);                                            /* P1 */
            assert(reported[a] != NOT_RUN)                                /* P2 */
       }
    /* Cancel: the server confirms that it has received the attempt and not started it. */
    :: d_step { atServer[a] > 0 && reply[a] == UNHEARD -> atServer[a]--; reply[a] = NOT_RUN }
#ifdef CANCEL_UNSEEN
    /* The server confirms that it has not started an attempt that it has not received yet. */
    :: d_step { dispatched[a] > 0 && reply[a] == UNHEARD -> reply[a] = NOT_RUN }
#endif
    /* ServerAnswers. */
    :: d_step { ran[a] && attemptState[a] == FORWARDED && reply[a] == UNHEARD -> reply[a] = DONE }
    fi
}

active proctype Backend() {
end:
    do
    :: Server(0)
    :: Server(1)
#ifdef REACH_SECOND_RUN
    /* Reachability: the second attempt can run after the first one has been proved not to have run. */
    :: d_step { ran[1] -> assert(false) }
#endif
    od
}
