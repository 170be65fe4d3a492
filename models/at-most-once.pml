/*
 * At most once, and the truth about it: one key, two attempts through two entry VMs, five holders of the key,
 * owner VMs, one backend server.
 *
 * Holders that keep their memory are alike, so that only the number of them in each state is kept. The others are named;
 * each restarts at most once.
 *
 * Steps, named as in the code: Receive, ClaimRequest, ClaimCompletion, GiveUpClaim, Forward, OwnerReceives, OwnerRefuses,
 * Dispatch, ServerReceives, ServerRuns, Cancel, ServerAnswers, Reply, GiveUp, EntryLost, OwnerLost, HolderRestart,
 * HolderPull.
 * A message in flight may be handled late or never; replies to claims may be lost.
 *
 * Properties:
 *   P1  the request runs at most once, over all attempts;
 *   P2  an attempt that was told as not run never ran and never will;
 *   P3  an attempt that was told as run ran.
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
#define STATES 16    /* of a holder: 4 * what it knows of attempt 0 + what it knows of attempt 1 */
#define SLOTS (NAMED + 1)

/* What a holder knows of an attempt; a larger one replaces a smaller one. */
#define UNHEARD 0
#define RUNNING 1
#define NOT_RUN 2
#define DONE 3       /* ran, or ended without anyone knowing whether it ran */

/* The steps of an attempt at its entry VM. */
#define IDLE 0
#define CLAIMING 1
#define CLAIMED 2
#define FORWARDED 3
#define ENDED 4
#define LOST 5

byte entry[2];               /* step of the attempt */
byte accepted[2];            /* holders that the entry VM knows to have accepted */
byte told[2];                /* what the caller was told: UNHEARD nothing or unknown, NOT_RUN, DONE ran */
byte ending[2];              /* what the holders are told of the end, UNHEARD if nothing */
byte holders[STATES];        /* unnamed holders in each state */
byte named[2 * SLOTS];       /* what a named holder knows: 2 * holder + attempt */
bit asked[2 * SLOTS];        /* the request of the claim has reached it, in any of its lives */
bit history[SLOTS] = 1;      /* it may accept */
bit restarted[SLOTS];

byte forwards[2];            /* forwards in flight to an owner */
byte queued[2];              /* owners that hold the attempt */
byte dispatched[2];          /* dispatches in flight to the server */
byte atServer[2];            /* dispatches that the server has received and not started */
bit ran[2];
byte runs;
byte reply[2];               /* reply in flight to the entry VM: UNHEARD none, NOT_RUN, DONE */

#ifdef FORWARD_AGAIN
bit again[2];
#endif

byte entriesToLose = 1;
byte ownersToLose = 1;

#define OTHER(a) (1 - a)
#define KNOWN(state, a) (a == 0 -> state / 4 : state % 4)
#define WEIGHT(a) (a == 0 -> 4 : 1)
#define IS_FREE(what) (what == UNHEARD || what == NOT_RUN)

inline Tell(a, what) {
    told[a] = what;
    assert(!(what == NOT_RUN && ran[a]));                                 /* P2 */
    assert(!(what == DONE && !ran[a]))                                    /* P3 */
}

inline End(a, toHolders) {
    entry[a] = ENDED;
    ending[a] = toHolders
}

inline Accept(a) {
    if
    :: entry[a] == CLAIMING ->
        accepted[a]++;
        if
        :: accepted[a] >= QUORUM -> entry[a] = CLAIMED
        :: else -> skip
        fi
    :: else -> skip
    fi
}

#define CLAIM_SENT(a) (entry[a] != IDLE && entry[a] != LOST)

/* A holder handles the request of a claim: at once, late, and with its answer heard while the claim is open. */
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
        holders[state] > 0 && entry[a] == CLAIMING && KNOWN(state, a) == UNHEARD && !IS_FREE(KNOWN(state, OTHER(a))) ->
            End(a, NOT_RUN)
    }
}

/* A holder learns the end of an attempt. */
inline ClaimCompletion(state, a) {
    d_step {
        holders[state] > 0 && ending[a] > KNOWN(state, a) ->
            holders[state]--;
            holders[WEIGHT(a) * ending[a] + WEIGHT(OTHER(a)) * KNOWN(state, OTHER(a))]++
    }
}

active [2] proctype Entry() {
    byte me = _pid;
end:
    do
    :: d_step { entry[me] == IDLE && (me == 0 || entry[0] != IDLE) -> entry[me] = CLAIMING }       /* Receive */
#ifdef NO_CLAIM
    :: d_step { entry[me] == CLAIMING -> entry[me] = CLAIMED }
#endif
    /* GiveUpClaim: too few holders answered in time. */
    :: d_step { entry[me] == CLAIMING -> Tell(me, NOT_RUN); End(me, NOT_RUN) }
    /* Forward, to any owner; not sent at all: refused with proof. */
    :: d_step { entry[me] == CLAIMED -> entry[me] = FORWARDED; forwards[me] = 1 }
    :: d_step { entry[me] == CLAIMED -> Tell(me, NOT_RUN); End(me, NOT_RUN) }
#ifdef FORWARD_AGAIN
    :: d_step { entry[me] == FORWARDED && !again[me] -> forwards[me]++; again[me] = 1 }
#endif
    /* Reply. */
    :: d_step {
        entry[me] == FORWARDED && reply[me] != UNHEARD ->
            Tell(me, reply[me]); End(me, reply[me]); reply[me] = UNHEARD
       }
    /* GiveUp: the deadline passed or the owner was lost; the outcome is unknown. */
#ifdef LOST_IS_NOT_RUN
    :: d_step { entry[me] == FORWARDED -> Tell(me, NOT_RUN); End(me, NOT_RUN) }
#elif defined(UNKNOWN_FREES)
    :: d_step { entry[me] == FORWARDED -> End(me, NOT_RUN) }
#else
    :: d_step { entry[me] == FORWARDED -> End(me, DONE) }
#endif
#ifdef GIVEN_UP_GOES_ON
    /* A late answer of a holder lets a claim that was given up go on. */
    :: d_step { entry[me] == ENDED && told[me] == NOT_RUN && accepted[me] == QUORUM - 1 -> entry[me] = CLAIMED }
#endif
    /* EntryLost. */
    :: d_step {
        entriesToLose > 0 && entry[me] > IDLE && entry[me] < ENDED ->
            entriesToLose--; entry[me] = LOST; reply[me] = UNHEARD
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
        CLAIM_SENT(a) && !asked[2 * h + a] && history[h] && named[2 * h + a] == UNHEARD && IS_FREE(named[2 * h + OTHER(a)]) ->
            asked[2 * h + a] = 1;
            named[2 * h + a] = RUNNING;
            Accept(a)
    }
}

inline NamedClaimRefused(h, a) {
    d_step {
        entry[a] == CLAIMING && !asked[2 * h + a] && history[h] && !IS_FREE(named[2 * h + OTHER(a)]) ->
            End(a, NOT_RUN)
    }
}

inline NamedClaimCompletion(h, a) {
    d_step { ending[a] > named[2 * h + a] -> named[2 * h + a] = ending[a] }
}

#define MAX(x, y) (x > y -> x : y)

inline Merge(h, state) {
    named[2 * h] = MAX(named[2 * h], KNOWN(state, 0));
    named[2 * h + 1] = MAX(named[2 * h + 1], KNOWN(state, 1))
}

/*
 * HolderPull: the new holder counts as lost, and of those that may be lost or not answer there are three; so two others
 * that know have answered.
 */
inline HolderPull(h, one, other) {
    d_step {
        !history[h] && holders[one] > (one == other) && holders[other] > 0 ->
            Merge(h, one);
            Merge(h, other);
            history[h] = 1
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
    /* HolderRestart: without memory; it accepts nothing before its pull. */
    :: d_step {
        !restarted[me] ->
            restarted[me] = 1;
            named[2 * me] = UNHEARD; named[2 * me + 1] = UNHEARD;
#ifndef NO_PULL
            history[me] = 0
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
    /* OwnerLost: with what it holds or what is on its way to it. */
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
            assert(told[a] != NOT_RUN)                                    /* P2 */
       }
    /* Cancel: the server gives its word that it had received the attempt and not started it. */
    :: d_step { atServer[a] > 0 && reply[a] == UNHEARD -> atServer[a]--; reply[a] = NOT_RUN }
#ifdef CANCEL_UNSEEN
    /* The server says of an attempt that it has not seen that it has not started it. */
    :: d_step { dispatched[a] > 0 && reply[a] == UNHEARD -> reply[a] = NOT_RUN }
#endif
    /* ServerAnswers. */
    :: d_step { ran[a] && entry[a] == FORWARDED && reply[a] == UNHEARD -> reply[a] = DONE }
    fi
}

active proctype Backend() {
end:
    do
    :: Server(0)
    :: Server(1)
#ifdef REACH_SECOND_RUN
    /* Not vacuous: the second attempt can run, after the first was proved not to have run. */
    :: d_step { ran[1] -> assert(false) }
#endif
    od
}
