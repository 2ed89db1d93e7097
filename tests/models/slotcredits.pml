/*
  Slots of a backend server divided among entry VMs as credits with a lifetime: the sum is never exceeded.
  Stands for Requests::CreditHolder.

  checkmodel bounds depth=200000 memory_mb=950
  checkmodel broken EARLY_REGRANT
  checkmodel broken NO_QUORUM
  checkmodel broken WORK_NOT_AWAITED
  checkmodel broken PAUSE_BEFORE_SEND
  checkmodel reached REACH_THIRD_DIVISION
  checkmodel reached REACH_LAPSE

  One slot and three entry VMs; the division of epoch n gives the slot to VM n - 1. Each VM may be paused at
  any point, killed, and known to be gone. Counters count ticks of one clock. Credits are confirmed by reads
  of the row or by peers. A request is sent in the same step as the credit is looked up: PAUSE_BEFORE_SEND
  shows that a pause between the two is not covered, as backend servers do not check credits.
*/

#define VMS 3
#define MAX_EPOCH 3
#define LIFETIME 1   /* ticks */
#define LONGEST 1    /* ticks that a request may take */
#define NEVER 7      /* no quorum yet */
#define PAIR(m, p) ((m) * VMS + (p))

byte rowEpoch = 1;

byte adopted[VMS] = 1;
bool settled[VMS];
bool dead[VMS];
byte confirmAge[VMS];      /* since the latest read or question that confirmed the division was sent */
byte quorumAge[VMS];
bool settledSeen[9];       /* the peer told that nothing beyond its new share is in progress */
bool working[VMS];         /* a request holds the slot */
byte workAge[VMS];
bool looked[VMS];          /* the credit was looked up and the request is not sent yet */

#define LIMITED(x, limit) x = ((x) < (limit) -> (x) + 1 : (x))
#define HOLDS(m) (adopted[m] == (m) + 1)
#define PEER_A(m) (((m) + 1) % VMS)
#define PEER_B(m) (((m) + 2) % VMS)

#ifdef WORK_NOT_AWAITED
#define LAPSE LIFETIME
#else
#define LAPSE (LIFETIME + LONGEST)
#endif

#ifdef NO_QUORUM
#define NEW_QUORUM 0
#else
#define NEW_QUORUM NEVER
#endif

#ifdef EARLY_REGRANT
#define CLOSED(m) true
#else
#define CLOSED(m) (adopted[m] == 1 || quorumAge[m] == LAPSE || \
    (settled[m] && settledSeen[PAIR(m, PEER_A(m))] && settledSeen[PAIR(m, PEER_B(m))]))
#endif

inline adopt(m, epoch)
{
    adopted[m] = epoch; settled[m] = false; quorumAge[m] = NEW_QUORUM;
    settledSeen[PAIR(m, PEER_A(m))] = false; settledSeen[PAIR(m, PEER_B(m))] = false
}

inline readRow(m)
{
    d_step {
        if
        :: rowEpoch > adopted[m] -> adopt(m, rowEpoch)
        :: else
        fi;
        confirmAge[m] = 0
    }
}

/* Two members of three, this one included, leave no majority for the division before. */
inline reachQuorum(m)
{
    quorumAge[m] = (quorumAge[m] == NEVER -> 0 : quorumAge[m])
}

/* Two members of three, this one included, confirm the division. */
inline askPeer(m, p)
{
    d_step {
        !dead[p] ->
        if
        :: adopted[p] == adopted[m] -> confirmAge[m] = 0
        :: else
        fi;
        if
        :: adopted[p] >= adopted[m] ->
            settledSeen[PAIR(m, p)] = settledSeen[PAIR(m, p)] || settled[p];
            reachQuorum(m)
        :: else
        fi
    }
}

inline learnGone(m, p)
{
    d_step { dead[p] && quorumAge[m] == NEVER -> reachQuorum(m) }
}

inline propose(m)
{
    d_step {
        rowEpoch == adopted[m] && rowEpoch < MAX_EPOCH && CLOSED(m) ->
        rowEpoch++;
#ifdef REACH_THIRD_DIVISION
        assert(rowEpoch < MAX_EPOCH);
#endif
        adopt(m, rowEpoch);
        confirmAge[m] = LIFETIME
    }
}

inline send(m)
{
    working[m] = true; workAge[m] = 0;
    assert(working[0] + working[1] + working[2] <= 1);
#ifdef REACH_LAPSE
    assert(m == 0 || settled[0] || quorumAge[m] != LAPSE);
#endif
}

inline startWork(m)
{
#ifdef PAUSE_BEFORE_SEND
    d_step { !looked[m] && !working[m] && HOLDS(m) && confirmAge[m] < LIFETIME && CLOSED(m) -> looked[m] = true };
    d_step { looked[m] = false; send(m) }
#else
    d_step { !working[m] && HOLDS(m) && confirmAge[m] < LIFETIME && CLOSED(m) -> send(m) }
#endif
}

proctype Entry(byte m)
{
end:
    do
    :: readRow(m)
    :: askPeer(m, PEER_A(m))
    :: askPeer(m, PEER_B(m))
    :: learnGone(m, PEER_A(m))
    :: learnGone(m, PEER_B(m))
    :: propose(m)
    :: startWork(m)
    :: d_step { !settled[m] && (!working[m] || HOLDS(m)) -> settled[m] = true }
    :: d_step { dead[m] = true; confirmAge[m] = LIFETIME } -> break
    od
}

inline tickVm(m)
{
    LIMITED(confirmAge[m], LIFETIME);
    quorumAge[m] = (quorumAge[m] < LAPSE -> quorumAge[m] + 1 : quorumAge[m]);
    if
    :: working[m] && workAge[m] == LONGEST -> working[m] = false; workAge[m] = 0
    :: working[m] && workAge[m] < LONGEST -> workAge[m]++
    :: else
    fi
}

active proctype Clock()
{
end:
    do
    :: d_step { tickVm(0); tickVm(1); tickVm(2) }
    od
}

/* Requests may end early; those of a killed VM end within the same bound. */
active proctype BackendServer()
{
end:
    do
    :: d_step { working[0] -> working[0] = false; workAge[0] = 0 }
    :: d_step { working[1] -> working[1] = false; workAge[1] = 0 }
    :: d_step { working[2] -> working[2] = false; workAge[2] = 0 }
    od
}

init
{
    atomic {
        quorumAge[0] = NEVER; quorumAge[1] = NEVER; quorumAge[2] = NEVER;
        run Entry(0); run Entry(1); run Entry(2)
    }
}
