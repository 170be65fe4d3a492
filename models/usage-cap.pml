/*
 * The usage cap of a tenant: in no window do the VMs together send more than (rate x window + burst) x 1.25 + slack requests of
 * the tenant.
 *
 * A unit is two requests and a tick is one second: a rate of 16 and a burst of 16 requests, a window of five seconds and a
 * slack of 20 requests. The tenant has one granter (k = 1), which owns the whole rate, and one successor. With more granters,
 * each has a successor of its own and its part of the rate.
 *
 * The borrowers of all VMs are one pool: any number of them, each of which may be paused between any two steps. A token may be
 * sent until one tick after the tick of its grant. A granter grants all that it has or nothing, and the pool sends all tokens of
 * a tick or none. That is the worst case: what was granted can still be sent later, and makes room in the bucket.
 *
 * A split separates the VMs into halves, with the granter in one and the successor in the other. Each half notices it at a time
 * of its own, at most SKEW ticks apart. A half issues tokens at min(1, 1.25 / 2) of the rate, and its bucket holds that part of
 * the burst. A granter that is down (crashed or paused) is succeeded by a VM that still knows nearly all VMs, and so issues at
 * the full rate. When a split ends or the granter is back, the successor learns that within the tick.
 *
 * A successor takes over TAKEOVER ticks after it has noticed that the granter is gone, with an empty bucket: it issues nothing
 * while it considers the granter live, nor while tokens that the other half issued at the full rate can still be sent. That takes
 * SKEW + 1 ticks; a tick less is refuted. A granter that was down for a tick or longer starts with an empty bucket as well, and
 * with RETURN_WAIT it issues nothing in the tick of its return.
 *
 * With RESERVE, a VM that considers the granter live issues 1.5 units a tick (3 requests a second; 0.05 x 16 + 2 are 2.8). With
 * NO_SLACK, the bound has no slack, as for a tenant whose rate is so large that 20 requests are nothing beside it: the factor
 * of 1.25 uses up the bound in a lasting split, so that nothing is left for tokens that are sent a tick after their grant.
 * FACTOR_ONE issues at 1 / 2 instead of 1.25 / 2 of the rate in a half.
 *
 * Requests and replies that are lost only waste tokens.
 *
 * Property: in no window are more than BOUND units sent.
 *
 * bounds: 1 granter, 1 successor, any number of borrowers, 2 halves, window 5 ticks, expiry 1 tick, 2 ticks to notice a loss, time and failures unbounded
 * check: right SKEW=0,TAKEOVER=1
 * check: right SKEW=1,TAKEOVER=2
 * check: right SKEW=1,TAKEOVER=2,RESERVE,RETURN_WAIT
 * check: right SKEW=1,TAKEOVER=2,NO_SLACK,FACTOR_ONE,RETURN_WAIT
 * check: broken SKEW=0,TAKEOVER=0
 * check: broken SKEW=1,TAKEOVER=1
 * check: broken SKEW=1,TAKEOVER=2,RESERVE
 * check: broken SKEW=1,TAKEOVER=2,NO_SLACK,RETURN_WAIT
 * check: broken SKEW=0,TAKEOVER=1,NO_EXPIRY
 * check: broken SKEW=0,TAKEOVER=1,CHECK_BEFORE_PAUSE
 * check: broken SKEW=0,TAKEOVER=1,FULL_BUCKET
 * check: broken SKEW=0,TAKEOVER=1,NO_WAIT
 * check: broken SKEW=0,TAKEOVER=1,FULL_RATE_IN_HALVES
 * check: broken SKEW=0,TAKEOVER=1,FULL_BURST_IN_HALVES
 * check: broken SKEW=0,TAKEOVER=1,RESUME_FULL
 */
#define RATE 8
#define BURST 8
#define WINDOW 5
#define BUCKET (BURST + RATE) /* the burst and what is refilled within a tick */
#ifdef NO_SLACK
#define BOUND 60 /* (8 x 5 + 8) x 1.25; a tenant whose rate is so large that the slack is nothing beside it */
#else
#define BOUND 70 /* (8 x 5 + 8) x 1.25 + 10 */
#endif
#define NOTICE 2 /* ticks until a loss may be noticed */

#ifdef FULL_RATE_IN_HALVES
#define HALF_RATE RATE
#else
#ifdef FACTOR_ONE
#define HALF_RATE 4 /* RATE / 2 */
#else
#define HALF_RATE 5 /* 1.25 x RATE / 2 */
#endif
#endif
#if defined(FULL_BURST_IN_HALVES) || defined(FULL_RATE_IN_HALVES)
#define HALF_BURST BURST
#else
#define HALF_BURST 5 /* 1.25 x BURST / 2 */
#endif
#define HALF_BUCKET (HALF_BURST + HALF_RATE)
#define NEW_BUCKET(isHalf) (isHalf -> HALF_RATE : RATE) /* empty at first, and refilled within a tick */

mtype = { whole, split, down };
mtype state = whole;
byte since;              /* ticks since the state began, up to the last that matters */
bit granterIsHalf;       /* whether the granter has noticed the split */
bit successorActive;     /* whether the successor issues tokens */
bit successorIsHalf;     /* whether it does so as the successor in a half */
byte granterBucket = BUCKET;
byte successorBucket;
#ifdef RESERVE
bit odd;                 /* ticks alternate, so that the reserve is 1.5 units a tick */
#endif
byte fresh;              /* tokens granted in this tick */
byte aged;               /* tokens granted in the last tick */
#ifdef CHECK_BEFORE_PAUSE
byte checked;            /* tokens whose expiry was checked before the borrower paused */
#endif
byte left;               /* ticks of the window that are left, 0 before it is open */
byte sent;               /* units sent in the window */

#define LAST_TICK (NOTICE + SKEW + TAKEOVER)
#define MIN(a, b) (a < b -> a : b)

inline Send(tokens) {
    if
    :: left > 0 -> sent = sent + tokens; assert(sent <= BOUND)
    :: else -> skip
    fi;
    tokens = 0
}

active proctype Granter() {
    do
    :: d_step { state != down && granterBucket > 0 -> fresh = fresh + granterBucket; granterBucket = 0 }
    :: d_step {
        state == split && !granterIsHalf && since >= NOTICE ->
            granterIsHalf = 1; granterBucket = MIN(granterBucket, HALF_BUCKET)
       }
    :: d_step { state == whole && granterIsHalf -> granterIsHalf = 0 }
    od
}

active proctype Successor() {
    do
    :: d_step { successorBucket > 0 -> fresh = fresh + successorBucket; successorBucket = 0 }
    :: d_step {
#ifdef NO_WAIT
        state != whole && !successorActive ->
#else
        state != whole && !successorActive && since >= NOTICE + TAKEOVER ->
#endif
            successorActive = 1; successorIsHalf = (state == split);
#ifdef FULL_BUCKET
            successorBucket = BUCKET
#else
            successorBucket = NEW_BUCKET(successorIsHalf)
#endif
       }
    :: d_step { state == whole && successorActive -> successorActive = 0; successorIsHalf = 0; successorBucket = 0 }
    od
}

active proctype Borrowers() {
    do
    :: d_step { fresh > 0 -> Send(fresh) }
    :: d_step { aged > 0 -> Send(aged) }
#ifdef CHECK_BEFORE_PAUSE
    :: d_step { aged > 0 && checked == 0 -> checked = aged; aged = 0 }
    :: d_step { checked > 0 -> Send(checked) }
#endif
    od
}

active proctype Network() {
    do
    :: d_step { state == whole && !successorActive -> state = split; since = 0 }
    :: d_step { state == whole && !successorActive -> state = down; since = 0 }
    :: d_step { state == split -> state = whole; since = 0 }
    :: d_step {
        state == down ->
            if
            :: since == 0 -> skip
#ifdef RESUME_FULL
            :: else -> granterBucket = BUCKET
#elif defined(RETURN_WAIT)
            :: else -> granterBucket = 0
#else
            :: else -> granterBucket = NEW_BUCKET(granterIsHalf)
#endif
            fi;
            state = whole; since = 0
       }
    od
}

/* Nobody waits for longer than allowed: a half notices a split in time, and the end of a failure within a tick. */
#define MAY_PASS !(state == whole && successorActive) && !(state == split && !granterIsHalf && since >= NOTICE + SKEW)

active proctype Clock() {
    do
    :: d_step {
        MAY_PASS ->
            if
            :: state == down -> skip
            :: state != down && granterIsHalf -> granterBucket = MIN(granterBucket + HALF_RATE, HALF_BUCKET)
            :: else -> granterBucket = MIN(granterBucket + RATE, BUCKET)
            fi;
            if
            :: successorActive && successorIsHalf -> successorBucket = MIN(successorBucket + HALF_RATE, HALF_BUCKET)
            :: successorActive && !successorIsHalf -> successorBucket = MIN(successorBucket + RATE, BUCKET)
#ifdef RESERVE
            :: !successorActive -> successorBucket = 1 + odd; odd = 1 - odd
#endif
            :: else -> skip
            fi;
#ifdef NO_EXPIRY
            aged = MIN(aged + fresh, BOUND + 1);
#else
            aged = fresh;
#endif
            fresh = 0;
            if
            :: since < LAST_TICK -> since++
            :: else -> skip
            fi;
            if
            :: left > 1 -> left--
            :: left == 1 -> left = 0; sent = 0
            :: else -> skip
            fi
       }
    /* The window opens. */
    :: d_step { left == 0 -> left = WINDOW }
    od
}
