/*
  Journal of attempts: recorded before the start, ended once, resumed from the latest recorded checkpoint.
  Stands for Batch::Journal, FencedWriter, TaskBook and the attempts of ShardOwner.

  checkmodel bounds depth=100000 memory_mb=950
  checkmodel broken BLIND_RETRY
  checkmodel broken UNHEARD_RESTART
  checkmodel broken START_BEFORE_RECORD
  checkmodel reached REACH_RESUME
  checkmodel reached REACH_START_BY_SUCCESSOR

  One checkpointable task, two workers, an owner and its successor, who takes over at any time while the
  first one goes on. Copies of writes take effect late or never and their answers are lost; an outage is the
  table doing nothing for long. A recorded attempt may wait for any time before it is started, which is how
  attempts recorded ahead are used during an outage. Start commands are late or lost, reports are lost.
  Leases are abstracted as shardownership.pml proves them: a worker is given up only after its lease and
  every batch under way to it have lapsed, and the successor, unless it has heard from the worker, waits until
  the first owner has stopped sending.
*/

#define MAX_ATTEMPT 2
#define AT(o, w) ((o) * 2 + (w))

mtype = { Pending, Unresolved, Recording, Recorded, Running, Ended };  /* the task as an owner knows it */
mtype = { Idle, Unsent, Waiting };                                      /* the owner's writer */
mtype = { Nothing, Runs, Checkpointed, Succeeded, Lapsed };             /* an attempt at a worker */

/* The table: version of the shard row, who wrote it, and the task's record. */
byte version = 1;
byte writer = 0;
byte epoch = 1;
byte attempt = 0;
bool open = false;
byte atWorker = 0;
byte checkpoint = 0;
bool done = false;

typedef Write {
    byte base; byte attempt; bool open; byte atWorker; byte checkpoint; bool done
};

/* Owners. */
bool owning[2];
byte known[2];          /* version of the row after the owner's last write */
mtype phase[2];
byte myAttempt[2];
byte myWorker[2];
byte myCheckpoint[2];
bool myDone[2];
mtype writing[2];
Write request[2];       /* the owner's latest write */
bool copySent[2];       /* a copy of it is under way */
Write lateCopy;         /* an earlier write of the first owner, still under way */
bool lateCopySent;

/* Start commands under way. */
byte startNumber[4];
byte startCheckpoint[4];

/* Workers. */
byte highestEpoch[2];
byte number[2];
mtype state[2] = Nothing;
bool lapsed[2];         /* the lease lapsed and no batch was sent since */
bool firstSuspended;    /* the first owner's grace without the table is over */

/* What happened. */
byte maxStarted = 0;
byte maxResumed = 0;

inline clear(w)
{
    w.base = 0; w.attempt = 0; w.open = false; w.atWorker = 0; w.checkpoint = 0; w.done = false
}

inline stepDown(o)
{
    known[o] = 0; copySent[o] = false; clear(request[o]);
    owning[o] = false; phase[o] = Pending; writing[o] = Idle; myAttempt[o] = 0;
    myWorker[o] = 0; myCheckpoint[o] = 0; myDone[o] = false
}

inline written(o)
{
    writing[o] = Idle;
    known[o] = request[o].base + 1;
    if
    :: !copySent[o] -> clear(request[o])
    :: else
    fi;
    if
    :: phase[o] == Recording -> phase[o] = Recorded
    :: else
    fi
}

/* Puts the record into a write; the new attempt and the end of the one before it share it. */
inline prepare(o, isOpen)
{
    request[o].base = known[o]; request[o].attempt = myAttempt[o]; request[o].open = isOpen;
    request[o].atWorker = myWorker[o]; request[o].checkpoint = myCheckpoint[o]; request[o].done = myDone[o];
    writing[o] = Unsent
}

inline place(o, w)
{
    d_step {
        owning[o] && writing[o] == Idle && phase[o] == Pending && !myDone[o] && myAttempt[o] < MAX_ATTEMPT &&
            (w == 0 || myAttempt[o] > 0) ->
        myAttempt[o]++; myWorker[o] = w;
        phase[o] = Recording;
        prepare(o, true);
#ifdef START_BEFORE_RECORD
        phase[o] = Recorded
#endif
    }
}

/* An attempt recorded ahead and never sent moves to another worker as the next attempt. */
inline move(o)
{
    d_step {
        owning[o] && writing[o] == Idle && phase[o] == Recorded && myAttempt[o] < MAX_ATTEMPT &&
            startNumber[AT(o, myWorker[o])] != myAttempt[o] && number[myWorker[o]] != myAttempt[o] ->
        myAttempt[o]++; myWorker[o] = 1 - myWorker[o];
        phase[o] = Recording;
        prepare(o, true)
    }
}

inline recordEnd(o)
{
    d_step {
        owning[o] && writing[o] == Idle && phase[o] == Ended ->
        phase[o] = Pending;
        prepare(o, false)
    }
}

inline sendWrite(o)
{
    d_step { writing[o] == Unsent -> writing[o] = Waiting; copySent[o] = true }
}

#define APPLY(w, o) \
    version++; writer = o; attempt = w.attempt; open = w.open; \
    atWorker = w.atWorker; checkpoint = w.checkpoint; done = w.done

/* The table takes a copy; the copy may come again, and the answer may be lost. */
inline takeWrite(o)
{
    atomic {
        copySent[o] ->
        if
        :: version == request[o].base && (o == 1 || epoch == 1) ->
            APPLY(request[o], o);
            if
            :: writing[o] == Waiting -> written(o)
            :: skip
            fi
        :: else
        fi;
        if
        :: copySent[o] = false
        :: o == 0 && !lateCopySent ->
            copySent[o] = false; lateCopySent = true;
            lateCopy.base = request[0].base; lateCopy.attempt = request[0].attempt;
            lateCopy.open = request[0].open; lateCopy.atWorker = request[0].atWorker;
            lateCopy.checkpoint = request[0].checkpoint; lateCopy.done = request[0].done
        fi;
        if
        :: writing[o] == Idle -> clear(request[o])
        :: else
        fi
    }
}

inline takeLateCopy()
{
    d_step {
        lateCopySent ->
        lateCopySent = false;
        if
#ifdef BLIND_RETRY
        :: epoch == 1 -> APPLY(lateCopy, 0)
#else
        :: version == lateCopy.base && epoch == 1 -> APPLY(lateCopy, 0)
#endif
        :: else
        fi;
        clear(lateCopy)
    }
}

/* No answer came: read the row before anything follows. */
inline resolve(o)
{
    d_step {
        writing[o] == Waiting ->
        if
        :: version == request[o].base + 1 && writer == o -> written(o)
        :: version == request[o].base -> writing[o] = Unsent
        :: else -> stepDown(o)
        fi
    }
}

/* The successor's write raises the epoch, so that no write of the first owner can follow it. */
inline takeOver()
{
    d_step {
        epoch == 1 ->
        epoch = 2; version++; writer = 1;
        owning[1] = true; known[1] = version;
        myAttempt[1] = attempt; myWorker[1] = atWorker; myCheckpoint[1] = checkpoint; myDone[1] = done;
        phase[1] = (open -> Unresolved : Pending);
#ifdef UNHEARD_RESTART
        phase[1] = Pending
#endif
    }
}

inline sendStart(o, w)
{
    d_step {
        owning[o] && phase[o] == Recorded && myWorker[o] == w && (o == 1 || !firstSuspended) ->
        lapsed[w] = false;
        startNumber[AT(o, w)] = myAttempt[o]; startCheckpoint[AT(o, w)] = myCheckpoint[o]
    }
}

inline endAttempt(o, w)
{
    myCheckpoint[o] = (state[w] == Checkpointed -> number[w] : myCheckpoint[o]);
    myDone[o] = (state[w] == Succeeded);
    phase[o] = Ended
}

/* A report in the owner's own epoch; the worker refuses earlier owners from then on. */
inline report(o, w)
{
    d_step {
        owning[o] && highestEpoch[w] <= o + 1 ->
        highestEpoch[w] = o + 1;
        if
        :: myWorker[o] == w && number[w] == myAttempt[o] && state[w] != Nothing &&
                (phase[o] == Unresolved || phase[o] == Recorded || phase[o] == Running) ->
            if
            :: state[w] == Runs -> phase[o] = Running
            :: else -> endAttempt(o, w)
            fi
        :: myWorker[o] == w && number[w] != myAttempt[o] && phase[o] == Unresolved -> phase[o] = Recorded
        :: else
        fi
    }
}

inline learnOfSuccessor(o, w)
{
    d_step { owning[o] && highestEpoch[w] > o + 1 -> stepDown(o) }
}

inline giveUp(o)
{
    d_step {
        owning[o] && lapsed[myWorker[o]] && (o == 0 || firstSuspended || highestEpoch[myWorker[o]] == 2) &&
            (phase[o] == Unresolved || phase[o] == Recorded || phase[o] == Running) ->
        phase[o] = Ended
    }
}

inline act(o)
{
    if
    :: place(o, 0)
    :: place(o, 1)
    :: move(o)
    :: recordEnd(o)
    :: sendWrite(o)
    :: resolve(o)
    :: sendStart(o, 0)
    :: sendStart(o, 1)
    :: report(o, 0)
    :: report(o, 1)
    :: giveUp(o)
    fi
}

active proctype FirstOwner()
{
end:
    do
    :: act(0)
    :: learnOfSuccessor(0, 0)
    :: learnOfSuccessor(0, 1)
    :: d_step { epoch == 2 && !firstSuspended -> firstSuspended = true }
    od
}

active proctype Successor()
{
end:
    do
    :: takeOver()
    :: act(1)
    od
}

active proctype Table()
{
end:
    do
    :: takeWrite(0)
    :: takeWrite(1)
    :: takeLateCopy()
    od
}

inline takeStart(w, o)
{
    d_step {
        startNumber[AT(o, w)] > 0 ->
        if
        :: o + 1 >= highestEpoch[w] ->
            highestEpoch[w] = o + 1;
            if
            :: startNumber[AT(o, w)] != number[w] ->
                /* Recorded first, never twice, alone, and from the latest checkpoint. */
                assert(startNumber[AT(o, w)] <= attempt);
                assert(startNumber[AT(o, w)] > maxStarted);
                assert(state[1 - w] != Runs && state[w] != Runs);
                assert(startCheckpoint[AT(o, w)] >= maxResumed);
                number[w] = startNumber[AT(o, w)]; state[w] = Runs;
                maxStarted = number[w]; maxResumed = startCheckpoint[AT(o, w)];
#ifdef REACH_RESUME
                assert(maxResumed == 0);
#endif
#ifdef REACH_START_BY_SUCCESSOR
                assert(o == 0 || maxStarted != 1);
#endif
            :: else
            fi
        :: else
        fi;
        startNumber[AT(o, w)] = 0; startCheckpoint[AT(o, w)] = 0
    }
}

inline lapse(w)
{
    d_step {
        !lapsed[w] ->
        lapsed[w] = true;
        state[w] = (state[w] == Runs -> Lapsed : state[w]);
        startNumber[AT(0, w)] = 0; startCheckpoint[AT(0, w)] = 0;
        startNumber[AT(1, w)] = 0; startCheckpoint[AT(1, w)] = 0
    }
}

proctype Worker(byte w)
{
end:
    do
    :: takeStart(w, 0)
    :: takeStart(w, 1)
    :: d_step { state[w] == Runs -> state[w] = Checkpointed }
    :: d_step { state[w] == Runs -> state[w] = Succeeded }
    :: lapse(w)
    od
}

init
{
    atomic {
        owning[0] = true; known[0] = 1;
        phase[0] = Pending; phase[1] = Pending; writing[0] = Idle; writing[1] = Idle;
        run Worker(0);
        run Worker(1)
    }
}
