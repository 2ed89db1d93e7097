/*
  Planned stop of an entry VM: no request in progress is interrupted, and no request that reached a backend
  server is answered with "not-run". Models the stop of Http::Server, Daemon::Application and Entry::EntryDaemon.

  checkmodel bounds depth=100000 memory_mb=500
  checkmodel broken EXIT_AT_ONCE
  checkmodel broken RETIRE_READING
  checkmodel broken CREDIT_BEFORE_END
  checkmodel endless NO_CLOSE_AFTER_ANSWER
  checkmodel reached REACH_STOP_DURING_REQUEST
  checkmodel reached REACH_REFUSED

  Three callers on persistent connections send their requests before, during or after the stop, which comes
  at any time. A request arrives in two parts. Idle connections are closed once, some time after the stop
  begins; the others are closed after their answer. A request that is sent while its connection is being
  closed is not read at all, so its caller may safely send it elsewhere.
*/

#define CALLERS 3
#define MAX_REQUESTS 2

mtype = { Waiting, Arriving, Queued, AtBackend };
mtype = { Serving, Stopping, Retired, Exited };

mtype requestState[CALLERS] = Waiting;
bool connected[CALLERS] = true;
byte sentRequests[CALLERS];
bool executed[CALLERS];
mtype serverPhase = Serving;
bool creditHeld = true;

inline startRequest(c)
{
    d_step {
        connected[c] && requestState[c] == Waiting && sentRequests[c] < MAX_REQUESTS ->
        requestState[c] = Arriving; sentRequests[c]++
    }
}

inline finishRequest(c)
{
    d_step { requestState[c] == Arriving && serverPhase != Exited -> requestState[c] = Queued }
}

inline forwardToBackend(c)
{
    d_step {
        requestState[c] == Queued && serverPhase != Exited ->
        assert(creditHeld);
        requestState[c] = AtBackend; executed[c] = true
    }
}

/* Once the stop has begun, an answer closes its connection. */
inline answerCaller(c)
{
    d_step {
        requestState[c] == AtBackend && serverPhase != Exited ->
        requestState[c] = Waiting; executed[c] = false;
#ifndef NO_CLOSE_AFTER_ANSWER
        connected[c] = (serverPhase == Serving)
#endif
    }
}

/* The deadline has passed or the queue is full. */
inline refuseRequest(c)
{
    d_step {
        requestState[c] == Queued && serverPhase != Exited ->
        assert(!executed[c]);
#ifdef REACH_REFUSED
        assert(serverPhase == Serving);
#endif
        requestState[c] = Waiting;
        connected[c] = (serverPhase == Serving)
    }
}

#ifdef RETIRE_READING
#define IS_RETIRED(c) (requestState[c] == Waiting || requestState[c] == Arriving)
#else
#define IS_RETIRED(c) (requestState[c] == Waiting)
#endif

inline retireConnection(c)
{
    if
    :: connected[c] && IS_RETIRED(c) ->
        assert(requestState[c] == Waiting);
        connected[c] = false
    :: else
    fi
}

#define ALL_CONNECTIONS_CLOSED (!connected[0] && !connected[1] && !connected[2])

#ifdef EXIT_AT_ONCE
#define MAY_EXIT true
#else
#define MAY_EXIT ALL_CONNECTIONS_CLOSED
#endif

#if defined(CREDIT_BEFORE_END) || defined(EXIT_AT_ONCE)
#define MAY_RELEASE true
#else
#define MAY_RELEASE ALL_CONNECTIONS_CLOSED
#endif

proctype Connection(byte c)
{
end:
    do
    :: startRequest(c)
    :: finishRequest(c)
    :: forwardToBackend(c)
    :: answerCaller(c)
    :: refuseRequest(c)
    :: serverPhase == Exited -> break
    od
}

/* There is no end label, so a stop that never completes is an invalid end state. */
active proctype Stop()
{
    d_step {
        serverPhase == Serving -> serverPhase = Stopping;
#ifdef REACH_STOP_DURING_REQUEST
        assert(requestState[0] != AtBackend)
#endif
    };
    d_step { serverPhase = Retired; retireConnection(0); retireConnection(1); retireConnection(2) };
    d_step { MAY_RELEASE -> creditHeld = false };
    d_step {
        MAY_EXIT -> serverPhase = Exited;
        assert(requestState[0] == Waiting && requestState[1] == Waiting && requestState[2] == Waiting)
    }
}

init
{
    atomic { run Connection(0); run Connection(1); run Connection(2) }
}
