/*
 * Ticket spread: for each object the higher ticket number wins, in whatever order tickets arrive.
 *
 * VMS daemons hold the state of one object as the value of the ticket that set it. (Objects are independent of each other,
 * so the model needs only one.) A value is 2 * number + content, so that two contents under the same number are ordered
 * too. Ticket 1 is in force at first; ticket 2 is published with two contents.
 *
 * Steps: PlatformPublishes, PlatformRead (from a fresh or a stale replica), PeerSend, PeerReceive, Restart,
 * PeerAnswersStart, Serve.
 * Faults: lost, late, duplicated and reordered messages, a stale or rolled back platform replica, restarts that lose all
 * state. A network partition, one-way or not, is a message that stays in flight and a reply that doesn't arrive.
 *
 * Properties:
 *   P1  a VM that serves or is ready to serve never holds a lower value than one that all such VMs have held at some time;
 *   P2  the value of a VM never decreases while it serves;
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
#define WATCHER 0    /* the VM that watches the platform; the others read from it only when they start */

byte held[VMS] = FIRST; /* value in force, 0 none */
bool serving[VMS] = true;
bool peerAnswered[VMS] = true; /* a serving peer has answered since the VM's start */
byte published = FIRST;        /* highest value on the fresh replica */
byte stale = FIRST;            /* value on the stale replica */
byte heldByAll = FIRST;        /* highest value that all VMs that serve or are ready to serve have held */
byte inFlight[VMS];            /* value in a message to the VM, 0 none; may arrive late, twice or never */
byte restarts = RESTARTS;
byte losses = LOSSES;
byte rollbacks = ROLLBACKS;
#ifdef NO_REPAIR
byte announced[VMS]; /* highest value ever announced to the VM */
#endif

#define READS(i) (i == WATCHER || !serving[i])
#define NEXT(i) ((i + 1) % VMS)
#define LAST(i) ((i + 2) % VMS)
#define MIN(a, b) (a < b -> a : b)
#define SHOWN(i) ((serving[i] || peerAnswered[i]) -> held[i] : 255)
#define LOWEST MIN(SHOWN(0), MIN(SHOWN(1), SHOWN(2)))

#if defined(LAST_WINS)
#define WINS(value, over) (value != over)
#elif defined(FIRST_CONTENT)
#define WINS(value, over) (value / 2 > over / 2)
#else
#define WINS(value, over) (value > over)
#endif

/* Applies a value if it wins, and checks P2. */
inline Apply(vm, value) {
    if
    :: WINS(value, held[vm]) ->
        assert(!serving[vm] || value >= held[vm]);                        /* P2 */
        held[vm] = value
    :: else -> skip
    fi
}

/* Updates the highest value that all VMs have held, and checks P1. */
inline UpdateHeldByAll() {
    if
    :: LOWEST != 255 && LOWEST > heldByAll -> heldByAll = LOWEST
    :: else -> skip
    fi;
    assert(LOWEST >= heldByAll) /* P1 */
}

/* Sends the value to a peer that it would replace there. Lower values are sent a bounded number of times (LowerPeerSend). */
inline PeerSend(from, to) {
#ifdef NO_REPAIR
    d_step { held[from] > announced[to] -> announced[to] = held[from]; inFlight[to] = held[from] }
#else
    d_step { WINS(held[from], held[to]) && inFlight[to] != held[from] -> inFlight[to] = held[from] }
#endif
}

inline LowerPeerSend(from, to) {
    d_step { losses > 0 && held[from] > 0 && held[from] < held[to] -> inFlight[to] = held[from]; losses-- }
}

/* A serving peer answers a starting VM over a working connection. */
inline PeerAnswersStart(from, to) {
    d_step {
        !serving[to] && !peerAnswered[to] && serving[from] ->
            Apply(to, held[from]);
            peerAnswered[to] = true;
            UpdateHeldByAll()
    }
}

active [VMS] proctype Vm() {
    byte me = _pid;
end:
    do
    /* PlatformRead, from the fresh or the stale replica. */
    :: d_step { READS(me) && WINS(published, held[me]) -> Apply(me, published); UpdateHeldByAll() }
    :: d_step { READS(me) && stale > 0 && WINS(stale, held[me]) -> Apply(me, stale); UpdateHeldByAll() }

    :: PeerSend(me, NEXT(me))
    :: PeerSend(me, LAST(me))
    :: LowerPeerSend(me, NEXT(me))
    :: LowerPeerSend(me, LAST(me))
    /* PeerReceive. */
    :: d_step { inFlight[me] > 0 -> Apply(me, inFlight[me]); inFlight[me] = 0; UpdateHeldByAll() }
    /* PeerReceive of a message that is delivered once more. */
    :: d_step { inFlight[me] > 0 && losses > 0 -> Apply(me, inFlight[me]); losses--; UpdateHeldByAll() }
    /* A message is lost. */
    :: d_step { inFlight[me] > 0 && losses > 0 -> inFlight[me] = 0; losses-- }

    /* Restart with loss of all state, while another VM serves. */
    :: d_step {
        restarts > 0 && (serving[NEXT(me)] || serving[LAST(me)]) ->
            restarts--; held[me] = 0; serving[me] = false; peerAnswered[me] = false
       }
    :: PeerAnswersStart(NEXT(me), me)
    :: PeerAnswersStart(LAST(me), me)
    /* Serve: only after a serving peer has answered. */
#ifdef NO_ASK
    :: d_step { !serving[me] && (held[me] > 0 || peerAnswered[me]) -> serving[me] = true; UpdateHeldByAll() }
#else
    :: d_step { !serving[me] && peerAnswered[me] -> serving[me] = true; UpdateHeldByAll() }
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
