/*
  Slots of a backend server are divided among entry VMs as credits with a lifetime: requests in progress
  never exceed the number of slots. Models Requests::CreditHolder.

  checkmodel bounds depth=200000 memory_mb=950
  checkmodel broken EARLY_REGRANT
  checkmodel broken NO_QUORUM
  checkmodel broken WORK_NOT_AWAITED
  checkmodel broken PAUSE_BEFORE_SEND
  checkmodel reached REACH_THIRD_DIVISION
  checkmodel reached REACH_LAPSE

  There are one slot and three entry VMs; the division of epoch n gives the slot to VM n - 1. Each VM may be
  paused at any point or killed, and others may learn that it is dead. Counters count ticks of one clock.
  Credits are confirmed by reads of the row or by peers. A request is sent in the same step in which the
  credit is checked: PAUSE_BEFORE_SEND shows that a pause between the two is not covered, because backend
  servers do not check credits.
*/

#define VMS 3
#define MAX_EPOCH 3
#define LIFETIME 1         /* ticks */
#define LONGEST_REQUEST 1  /* longest duration of a request, in ticks */
#define NO_QUORUM_YET 7    /* value of quorumAge before the quorum is reached */
#define PAIR(m, p) ((m) * VMS + (p))

byte rowEpoch = 1;

byte adoptedEpoch[VMS] = 1;
bool settled[VMS];
bool dead[VMS];
byte confirmAge[VMS];      /* ticks since the latest read or question that confirmed the division was sent */
byte quorumAge[VMS];
bool settledReported[9];   /* the peer reported no requests in progress beyond its new share */
bool requestRunning[VMS];  /* a request occupies the slot */
byte requestAge[VMS];
bool creditChecked[VMS];   /* the credit was checked and the request is not sent yet */

#define INCREMENT(x, limit) x = ((x) < (limit) -> (x) + 1 : (x))
#define HOLDS_SLOT(m) (adoptedEpoch[m] == (m) + 1)
#define PEER_A(m) (((m) + 1) % VMS)
#define PEER_B(m) (((m) + 2) % VMS)

#ifdef WORK_NOT_AWAITED
#define LAPSE_TICKS LIFETIME
#else
#define LAPSE_TICKS (LIFETIME + LONGEST_REQUEST)
#endif

#ifdef NO_QUORUM
#define NEW_QUORUM 0
#else
#define NEW_QUORUM NO_QUORUM_YET
#endif

#ifdef EARLY_REGRANT
#define PREDECESSOR_CLOSED(m) true
#else
#define PREDECESSOR_CLOSED(m) (adoptedEpoch[m] == 1 || quorumAge[m] == LAPSE_TICKS || \
    (settled[m] && settledReported[PAIR(m, PEER_A(m))] && settledReported[PAIR(m, PEER_B(m))]))
#endif

inline adopt(m, epoch)
{
    adoptedEpoch[m] = epoch; settled[m] = false; quorumAge[m] = NEW_QUORUM;
    settledReported[PAIR(m, PEER_A(m))] = false; settledReported[PAIR(m, PEER_B(m))] = false
}

inline readRow(m)
{
    d_step {
        if
        :: rowEpoch > adoptedEpoch[m] -> adopt(m, rowEpoch)
        :: else
        fi;
        confirmAge[m] = 0
    }
}

/* Two of three members, including this one, leave no majority for the previous division. */
inline reachQuorum(m)
{
    quorumAge[m] = (quorumAge[m] == NO_QUORUM_YET -> 0 : quorumAge[m])
}

/* Two of three members, including this one, confirm the division. */
inline askPeer(m, p)
{
    d_step {
        !dead[p] ->
        if
        :: adoptedEpoch[p] == adoptedEpoch[m] -> confirmAge[m] = 0
        :: else
        fi;
        if
        :: adoptedEpoch[p] >= adoptedEpoch[m] ->
            settledReported[PAIR(m, p)] = settledReported[PAIR(m, p)] || settled[p];
            reachQuorum(m)
        :: else
        fi
    }
}

inline learnPeerDead(m, p)
{
    d_step { dead[p] && quorumAge[m] == NO_QUORUM_YET -> reachQuorum(m) }
}

inline propose(m)
{
    d_step {
        rowEpoch == adoptedEpoch[m] && rowEpoch < MAX_EPOCH && PREDECESSOR_CLOSED(m) ->
        rowEpoch++;
#ifdef REACH_THIRD_DIVISION
        assert(rowEpoch < MAX_EPOCH);
#endif
        adopt(m, rowEpoch);
        confirmAge[m] = LIFETIME
    }
}

inline sendRequest(m)
{
    requestRunning[m] = true; requestAge[m] = 0;
    assert(requestRunning[0] + requestRunning[1] + requestRunning[2] <= 1);
#ifdef REACH_LAPSE
    assert(m == 0 || settled[0] || quorumAge[m] != LAPSE_TICKS);
#endif
}

inline startRequest(m)
{
#ifdef PAUSE_BEFORE_SEND
    d_step {
        !creditChecked[m] && !requestRunning[m] && HOLDS_SLOT(m) && confirmAge[m] < LIFETIME &&
            PREDECESSOR_CLOSED(m) ->
        creditChecked[m] = true
    };
    d_step { creditChecked[m] = false; sendRequest(m) }
#else
    d_step {
        !requestRunning[m] && HOLDS_SLOT(m) && confirmAge[m] < LIFETIME && PREDECESSOR_CLOSED(m) ->
        sendRequest(m)
    }
#endif
}

proctype Entry(byte m)
{
end:
    do
    :: readRow(m)
    :: askPeer(m, PEER_A(m))
    :: askPeer(m, PEER_B(m))
    :: learnPeerDead(m, PEER_A(m))
    :: learnPeerDead(m, PEER_B(m))
    :: propose(m)
    :: startRequest(m)
    :: d_step { !settled[m] && (!requestRunning[m] || HOLDS_SLOT(m)) -> settled[m] = true }
    :: d_step { dead[m] = true; confirmAge[m] = LIFETIME } -> break
    od
}

inline tickVm(m)
{
    INCREMENT(confirmAge[m], LIFETIME);
    quorumAge[m] = (quorumAge[m] < LAPSE_TICKS -> quorumAge[m] + 1 : quorumAge[m]);
    if
    :: requestRunning[m] && requestAge[m] == LONGEST_REQUEST -> requestRunning[m] = false; requestAge[m] = 0
    :: requestRunning[m] && requestAge[m] < LONGEST_REQUEST -> requestAge[m]++
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

/* Requests may end early; those of a killed VM end within the same limit. */
active proctype BackendServer()
{
end:
    do
    :: d_step { requestRunning[0] -> requestRunning[0] = false; requestAge[0] = 0 }
    :: d_step { requestRunning[1] -> requestRunning[1] = false; requestAge[1] = 0 }
    :: d_step { requestRunning[2] -> requestRunning[2] = false; requestAge[2] = 0 }
    od
}

init
{
    atomic {
        quorumAge[0] = NO_QUORUM_YET; quorumAge[1] = NO_QUORUM_YET; quorumAge[2] = NO_QUORUM_YET;
        run Entry(0); run Entry(1); run Entry(2)
    }
}
