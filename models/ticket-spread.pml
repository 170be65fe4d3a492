/*
 * Ticket spread: per object the higher ticket number wins, whatever the order of arrival.
 *
 * VMS daemons hold the state of one object as the value of the ticket that set it. (Objects do not influence each
 * other, so that one stands for all.) A value is 2 * number + content, so that two contents under one number are
 * ordered too. Ticket 1 is in force at first; ticket 2 is published with two contents.
 *
 * Steps, named as in the code: PlatformPublishes, PlatformRead (from a fresh or a stale replica), PeerSend, PeerReceive,
 * Restart, PeerAnswersStart, Serve.
 * Faults: lost, late, repeated and reordered messages, a stale or rolled back platform replica, restarts without
 * memory. A cut, one-way or not, is a message that stays in flight and an answer that does not come.
 *
 * Properties:
 *   P1  no VM that serves or is about to has less than what all of these once held;
 *   P2  no VM goes back while it serves;
 *   P3  once faults and publishing are over, the highest value is in force on every VM.
 *
 * bounds: 3 VMs, 1 object, 3 tickets (2 under one number), 2 restarts, 2 losses or repeats, 1 rollback, a message a VM
 * check: right -
 * check: broken LAST_WINS
 * check: broken NO_ASK
 * check: broken FIRST_CONTENT
 * check: broken NO_REPAIR
 */
#define VMS 3
#define FIRST 2      /* ticket 1 */
#define HIGHEST 5    /* ticket 2, content 1 */
#ifndef RESTARTS
#define RESTARTS 2
#endif
#define LOSSES 2
#define ROLLBACKS 1
#define WATCHER 0    /* the VM that watches the platform; the others read it when they start */

byte held[VMS] = FIRST; /* value in force, 0 none */
bool serving[VMS] = true;
bool asked[VMS] = true;    /* a peer that serves has answered since the start */
byte published = FIRST;     /* highest value on the fresh replica */
byte stale = FIRST;         /* what the stale replica answers with */
byte everywhere = FIRST;    /* highest value that all VMs held that serve or are about to */
byte flight[VMS];    /* value in a message to the VM, 0 none; may arrive late, again or never */
byte restarts = RESTARTS;
byte losses = LOSSES;
byte rollbacks = ROLLBACKS;
#ifdef NO_REPAIR
byte told[VMS];      /* highest value ever announced to the VM */
#endif

#define READS(i) (i == WATCHER || !serving[i])
#define NEXT(i) ((i + 1) % VMS)
#define LAST(i) ((i + 2) % VMS)
#define MIN(a, b) (a < b -> a : b)
#define SHOWN(i) ((serving[i] || asked[i]) -> held[i] : 255)
#define LOWEST MIN(SHOWN(0), MIN(SHOWN(1), SHOWN(2)))

#if defined(LAST_WINS)
#define WINS(value, over) (value != over)
#elif defined(FIRST_CONTENT)
#define WINS(value, over) (value / 2 > over / 2)
#else
#define WINS(value, over) (value > over)
#endif

/* Apply and the check of P1 and P2. */
inline Apply(vm, value) {
    if
    :: WINS(value, held[vm]) ->
        assert(!serving[vm] || value >= held[vm]);                        /* P2 */
        held[vm] = value
    :: else -> skip
    fi
}

inline NoteEverywhere() {
    if
    :: LOWEST != 255 && LOWEST > everywhere -> everywhere = LOWEST
    :: else -> skip
    fi;
    assert(LOWEST >= everywhere) /* P1 */
}

/* Tells a peer that has something else; telling it something lower is allowed a bounded number of times. */
inline PeerSend(from, to) {
#ifdef NO_REPAIR
    d_step { held[from] > told[to] -> told[to] = held[from]; flight[to] = held[from] }
#else
    d_step { WINS(held[from], held[to]) && flight[to] != held[from] -> flight[to] = held[from] }
#endif
}

inline LowerPeerSend(from, to) {
    d_step { losses > 0 && held[from] > 0 && held[from] < held[to] -> flight[to] = held[from]; losses-- }
}

/* A peer that serves answers a VM that starts, over a way that works. */
inline PeerAnswersStart(from, to) {
    d_step {
        !serving[to] && !asked[to] && serving[from] ->
            Apply(to, held[from]);
            asked[to] = true;
            NoteEverywhere()
    }
}

active [VMS] proctype Vm() {
    byte me = _pid;
end:
    do
    /* PlatformRead, from the fresh or the stale replica. */
    :: d_step { READS(me) && WINS(published, held[me]) -> Apply(me, published); NoteEverywhere() }
    :: d_step { READS(me) && stale > 0 && WINS(stale, held[me]) -> Apply(me, stale); NoteEverywhere() }

    :: PeerSend(me, NEXT(me))
    :: PeerSend(me, LAST(me))
    :: LowerPeerSend(me, NEXT(me))
    :: LowerPeerSend(me, LAST(me))
    /* PeerReceive. */
    :: d_step { flight[me] > 0 -> Apply(me, flight[me]); flight[me] = 0; NoteEverywhere() }
    /* PeerReceive of a message that comes again. */
    :: d_step { flight[me] > 0 && losses > 0 -> Apply(me, flight[me]); losses--; NoteEverywhere() }
    /* A message is lost. */
    :: d_step { flight[me] > 0 && losses > 0 -> flight[me] = 0; losses-- }

    /* Restart without memory, while another VM serves. */
    :: d_step {
        restarts > 0 && (serving[NEXT(me)] || serving[LAST(me)]) ->
            restarts--; held[me] = 0; serving[me] = false; asked[me] = false
       }
    :: PeerAnswersStart(NEXT(me), me)
    :: PeerAnswersStart(LAST(me), me)
    /* Serve: only after peers as well as the platform were asked. */
#ifdef NO_ASK
    :: d_step { !serving[me] && (held[me] > 0 || asked[me]) -> serving[me] = true; NoteEverywhere() }
#else
    :: d_step { !serving[me] && asked[me] -> serving[me] = true; NoteEverywhere() }
#endif
    od
}

active proctype PlatformAndCheck() {
end:
    do
    /* PlatformPublishes: ticket 2, with two contents. */
    :: d_step { published == FIRST -> published = 4 }
    :: d_step { published == 4 -> published = HIGHEST }
    /* The stale replica catches up, or is rolled back to ticket 1. */
    :: d_step { stale < published -> stale = published }
    :: d_step { rollbacks > 0 && stale > FIRST -> rollbacks--; stale = FIRST }
    :: timeout ->
        assert(held[0] == HIGHEST && held[1] == HIGHEST && held[2] == HIGHEST);  /* P3 */
        assert(serving[0] && serving[1] && serving[2]);
        break
    od
}
