/*
  Planned stop of an entry VM: no request in progress is interrupted, and none that reached a backend server
  is answered "not-run". Stands for the stop of Http::Server, Daemon::Application and Entry::EntryDaemon.

  checkmodel bounds depth=100000 memory_mb=500
  checkmodel broken EXIT_AT_ONCE
  checkmodel broken RETIRE_READING
  checkmodel broken CREDIT_BEFORE_END
  checkmodel endless NO_CLOSE_AFTER_ANSWER
  checkmodel reached REACH_STOP_DURING_REQUEST
  checkmodel reached REACH_REFUSED

  Three callers on kept connections send their requests before, during or after the stop, whose time is any.
  A request arrives in two parts. Connections that wait for a request are retired once, a while after the
  stop; the others are closed after the answer. A request whose first byte crosses the closing was not read
  at all, so its caller may send it elsewhere.
*/

#define CALLERS 3
#define MAX_REQUESTS 2

mtype = { Waiting, Arriving, Queued, AtBackend };
mtype = { Serving, Stopping, Retired, Exited };

mtype request[CALLERS] = Waiting;
bool connected[CALLERS] = true;
byte sent[CALLERS];
bool executed[CALLERS];
mtype phase = Serving;
bool creditHeld = true;

inline arrive(c)
{
    d_step {
        connected[c] && request[c] == Waiting && sent[c] < MAX_REQUESTS ->
        request[c] = Arriving; sent[c]++
    }
}

inline readRest(c)
{
    d_step { request[c] == Arriving && phase != Exited -> request[c] = Queued }
}

inline sendOn(c)
{
    d_step {
        request[c] == Queued && phase != Exited ->
        assert(creditHeld);
        request[c] = AtBackend; executed[c] = true
    }
}

/* After the stop an answer closes its connection. */
inline answer(c)
{
    d_step {
        request[c] == AtBackend && phase != Exited ->
        request[c] = Waiting; executed[c] = false;
#ifndef NO_CLOSE_AFTER_ANSWER
        connected[c] = (phase == Serving)
#endif
    }
}

/* Deadline or full queue. */
inline refuse(c)
{
    d_step {
        request[c] == Queued && phase != Exited ->
        assert(!executed[c]);
#ifdef REACH_REFUSED
        assert(phase == Serving);
#endif
        request[c] = Waiting;
        connected[c] = (phase == Serving)
    }
}

#ifdef RETIRE_READING
#define RETIRES(c) (request[c] == Waiting || request[c] == Arriving)
#else
#define RETIRES(c) (request[c] == Waiting)
#endif

inline retire(c)
{
    if
    :: connected[c] && RETIRES(c) ->
        assert(request[c] == Waiting);
        connected[c] = false
    :: else
    fi
}

#define ENDED (!connected[0] && !connected[1] && !connected[2])

#ifdef EXIT_AT_ONCE
#define MAY_EXIT true
#else
#define MAY_EXIT ENDED
#endif

#if defined(CREDIT_BEFORE_END) || defined(EXIT_AT_ONCE)
#define MAY_RELEASE true
#else
#define MAY_RELEASE ENDED
#endif

proctype Connection(byte c)
{
end:
    do
    :: arrive(c)
    :: readRest(c)
    :: sendOn(c)
    :: answer(c)
    :: refuse(c)
    :: phase == Exited -> break
    od
}

/* Without an end label: a stop that never ends is an invalid end state. */
active proctype Stop()
{
    d_step {
        phase == Serving -> phase = Stopping;
#ifdef REACH_STOP_DURING_REQUEST
        assert(request[0] != AtBackend)
#endif
    };
    d_step { phase = Retired; retire(0); retire(1); retire(2) };
    d_step { MAY_RELEASE -> creditHeld = false };
    d_step {
        MAY_EXIT -> phase = Exited;
        assert(request[0] == Waiting && request[1] == Waiting && request[2] == Waiting)
    }
}

init
{
    atomic { run Connection(0); run Connection(1); run Connection(2) }
}
