/*
  Attempt journal: an attempt is recorded before it starts, ends once, and resumes from the latest recorded
  checkpoint. Models Batch::Journal, FencedWriter, TaskRegistry and the attempt handling of ShardOwner.

  checkmodel bounds depth=100000 memory_mb=950
  checkmodel broken BLIND_RETRY
  checkmodel broken UNHEARD_RESTART
  checkmodel broken START_BEFORE_RECORD
  checkmodel reached REACH_RESUME
  checkmodel reached REACH_START_BY_SUCCESSOR

  There are one checkpointable task, two workers, an owner and its successor, which takes over at any time
  while the first owner continues. Copies of writes take effect late or never, and their answers may be
  lost; an outage is a long time in which the table does nothing. A recorded attempt may wait for any time
  before it starts, as attempts recorded ahead do during an outage. Start commands may be late or lost, and
  reports may be lost. Leases are abstracted to what shardownership.pml proves: a worker's attempt counts as
  lost only after the worker's lease and every batch in flight to it have lapsed, and the successor waits
  until the first owner has stopped sending unless the worker has reported to it.
*/

#define MAX_ATTEMPT 2
#define AT(o, w) ((o) * 2 + (w))

mtype = { Pending, Unresolved, Recording, Recorded, Running, Ended };  /* phase of the task at an owner */
mtype = { Idle, Unsent, AwaitingAnswer };                              /* state of an owner's writer */
mtype = { NoAttempt, Executing, Checkpointed, Succeeded, Lapsed };     /* state of the attempt at a worker */

/* The table: version, last writer and epoch of the shard row, and the task's record. */
byte version = 1;
byte lastWriter = 0;
byte epoch = 1;
byte attempt = 0;
bool open = false;
byte attemptWorker = 0;
byte checkpoint = 0;
bool done = false;

typedef Write {
    byte base; byte attempt; bool open; byte attemptWorker; byte checkpoint; bool done
};

/* Owners. */
bool isOwner[2];
byte knownVersion[2];  /* version of the shard row after the owner's last write */
mtype taskPhase[2];
byte knownAttempt[2];
byte knownWorker[2];
byte knownCheckpoint[2];
bool knownDone[2];
mtype writerState[2];
Write request[2];      /* the owner's latest write */
bool copyInFlight[2];  /* a copy of the latest write is in flight */
Write lateCopy;        /* an earlier write of the first owner that is still in flight */
bool lateCopyInFlight;

/* Start commands in flight, by owner and worker; 0 for none. */
byte startAttempt[4];
byte startCheckpoint[4];

/* Workers. */
byte highestEpoch[2];
byte workerAttempt[2];
mtype attemptState[2] = NoAttempt;
bool leaseLapsed[2];       /* the lease has lapsed and no batch was sent since */
bool firstOwnerGraceOver;  /* the first owner's outage grace is over and it sends no more batches */

/* History for the assertions. */
byte highestStarted = 0;
byte highestResumedCheckpoint = 0;

inline clearWrite(w)
{
    w.base = 0; w.attempt = 0; w.open = false; w.attemptWorker = 0; w.checkpoint = 0; w.done = false
}

inline stepDown(o)
{
    knownVersion[o] = 0; copyInFlight[o] = false; clearWrite(request[o]);
    isOwner[o] = false; taskPhase[o] = Pending; writerState[o] = Idle; knownAttempt[o] = 0;
    knownWorker[o] = 0; knownCheckpoint[o] = 0; knownDone[o] = false
}

inline onWriteCommitted(o)
{
    writerState[o] = Idle;
    knownVersion[o] = request[o].base + 1;
    if
    :: !copyInFlight[o] -> clearWrite(request[o])
    :: else
    fi;
    if
    :: taskPhase[o] == Recording -> taskPhase[o] = Recorded
    :: else
    fi
}

/* Puts the task's record into a write; one record holds the new attempt and the end of the previous one. */
inline prepareWrite(o, isOpen)
{
    request[o].base = knownVersion[o]; request[o].attempt = knownAttempt[o]; request[o].open = isOpen;
    request[o].attemptWorker = knownWorker[o]; request[o].checkpoint = knownCheckpoint[o];
    request[o].done = knownDone[o];
    writerState[o] = Unsent
}

inline placeAttempt(o, w)
{
    d_step {
        isOwner[o] && writerState[o] == Idle && taskPhase[o] == Pending && !knownDone[o] &&
            knownAttempt[o] < MAX_ATTEMPT &&
            (w == 0 || knownAttempt[o] > 0) ->
        knownAttempt[o]++; knownWorker[o] = w;
        taskPhase[o] = Recording;
        prepareWrite(o, true);
#ifdef START_BEFORE_RECORD
        taskPhase[o] = Recorded
#endif
    }
}

/* An attempt that was recorded ahead and never sent moves to the other worker as the next attempt. */
inline moveUnsentAttempt(o)
{
    d_step {
        isOwner[o] && writerState[o] == Idle && taskPhase[o] == Recorded && knownAttempt[o] < MAX_ATTEMPT &&
            startAttempt[AT(o, knownWorker[o])] != knownAttempt[o] &&
            workerAttempt[knownWorker[o]] != knownAttempt[o] ->
        knownAttempt[o]++; knownWorker[o] = 1 - knownWorker[o];
        taskPhase[o] = Recording;
        prepareWrite(o, true)
    }
}

inline recordEnd(o)
{
    d_step {
        isOwner[o] && writerState[o] == Idle && taskPhase[o] == Ended ->
        taskPhase[o] = Pending;
        prepareWrite(o, false)
    }
}

inline sendWrite(o)
{
    d_step { writerState[o] == Unsent -> writerState[o] = AwaitingAnswer; copyInFlight[o] = true }
}

#define APPLY(w, o) \
    version++; lastWriter = o; attempt = w.attempt; open = w.open; \
    attemptWorker = w.attemptWorker; checkpoint = w.checkpoint; done = w.done

/* A copy of the write reaches the table. It may arrive again later, and the answer may be lost. */
inline deliverWrite(o)
{
    atomic {
        copyInFlight[o] ->
        if
        :: version == request[o].base && (o == 1 || epoch == 1) ->
            APPLY(request[o], o);
            if
            :: writerState[o] == AwaitingAnswer -> onWriteCommitted(o)
            :: skip
            fi
        :: else
        fi;
        if
        :: copyInFlight[o] = false
        :: o == 0 && !lateCopyInFlight ->
            copyInFlight[o] = false; lateCopyInFlight = true;
            lateCopy.base = request[0].base; lateCopy.attempt = request[0].attempt;
            lateCopy.open = request[0].open; lateCopy.attemptWorker = request[0].attemptWorker;
            lateCopy.checkpoint = request[0].checkpoint; lateCopy.done = request[0].done
        fi;
        if
        :: writerState[o] == Idle -> clearWrite(request[o])
        :: else
        fi
    }
}

inline deliverLateCopy()
{
    d_step {
        lateCopyInFlight ->
        lateCopyInFlight = false;
        if
#ifdef BLIND_RETRY
        :: epoch == 1 -> APPLY(lateCopy, 0)
#else
        :: version == lateCopy.base && epoch == 1 -> APPLY(lateCopy, 0)
#endif
        :: else
        fi;
        clearWrite(lateCopy)
    }
}

/* There was no answer: the owner reads the row before it writes again. */
inline resolveLostAnswer(o)
{
    d_step {
        writerState[o] == AwaitingAnswer ->
        if
        :: version == request[o].base + 1 && lastWriter == o -> onWriteCommitted(o)
        :: version == request[o].base -> writerState[o] = Unsent
        :: else -> stepDown(o)
        fi
    }
}

/* The successor's write raises the epoch, so no write of the first owner can take effect after it. */
inline takeOver()
{
    d_step {
        epoch == 1 ->
        epoch = 2; version++; lastWriter = 1;
        isOwner[1] = true; knownVersion[1] = version;
        knownAttempt[1] = attempt; knownWorker[1] = attemptWorker;
        knownCheckpoint[1] = checkpoint; knownDone[1] = done;
        taskPhase[1] = (open -> Unresolved : Pending);
#ifdef UNHEARD_RESTART
        taskPhase[1] = Pending
#endif
    }
}

inline sendStart(o, w)
{
    d_step {
        isOwner[o] && taskPhase[o] == Recorded && knownWorker[o] == w && (o == 1 || !firstOwnerGraceOver) ->
        leaseLapsed[w] = false;
        startAttempt[AT(o, w)] = knownAttempt[o]; startCheckpoint[AT(o, w)] = knownCheckpoint[o]
    }
}

inline endAttempt(o, w)
{
    knownCheckpoint[o] = (attemptState[w] == Checkpointed -> workerAttempt[w] : knownCheckpoint[o]);
    knownDone[o] = (attemptState[w] == Succeeded);
    taskPhase[o] = Ended
}

/* A report in the owner's own epoch; the worker refuses earlier owners from then on. */
inline receiveReport(o, w)
{
    d_step {
        isOwner[o] && highestEpoch[w] <= o + 1 ->
        highestEpoch[w] = o + 1;
        if
        :: knownWorker[o] == w && workerAttempt[w] == knownAttempt[o] && attemptState[w] != NoAttempt &&
                (taskPhase[o] == Unresolved || taskPhase[o] == Recorded || taskPhase[o] == Running) ->
            if
            :: attemptState[w] == Executing -> taskPhase[o] = Running
            :: else -> endAttempt(o, w)
            fi
        :: knownWorker[o] == w && workerAttempt[w] != knownAttempt[o] && taskPhase[o] == Unresolved ->
            taskPhase[o] = Recorded
        :: else
        fi
    }
}

inline detectSuccessor(o, w)
{
    d_step { isOwner[o] && highestEpoch[w] > o + 1 -> stepDown(o) }
}

inline declareLost(o)
{
    d_step {
        isOwner[o] && leaseLapsed[knownWorker[o]] &&
            (o == 0 || firstOwnerGraceOver || highestEpoch[knownWorker[o]] == 2) &&
            (taskPhase[o] == Unresolved || taskPhase[o] == Recorded || taskPhase[o] == Running) ->
        taskPhase[o] = Ended
    }
}

inline ownerStep(o)
{
    if
    :: placeAttempt(o, 0)
    :: placeAttempt(o, 1)
    :: moveUnsentAttempt(o)
    :: recordEnd(o)
    :: sendWrite(o)
    :: resolveLostAnswer(o)
    :: sendStart(o, 0)
    :: sendStart(o, 1)
    :: receiveReport(o, 0)
    :: receiveReport(o, 1)
    :: declareLost(o)
    fi
}

active proctype FirstOwner()
{
end:
    do
    :: ownerStep(0)
    :: detectSuccessor(0, 0)
    :: detectSuccessor(0, 1)
    :: d_step { epoch == 2 && !firstOwnerGraceOver -> firstOwnerGraceOver = true }
    od
}

active proctype Successor()
{
end:
    do
    :: takeOver()
    :: ownerStep(1)
    od
}

active proctype Table()
{
end:
    do
    :: deliverWrite(0)
    :: deliverWrite(1)
    :: deliverLateCopy()
    od
}

inline deliverStart(w, o)
{
    d_step {
        startAttempt[AT(o, w)] > 0 ->
        if
        :: o + 1 >= highestEpoch[w] ->
            highestEpoch[w] = o + 1;
            if
            :: startAttempt[AT(o, w)] != workerAttempt[w] ->
                /* The attempt is recorded, starts once, runs alone and resumes from the latest checkpoint. */
                assert(startAttempt[AT(o, w)] <= attempt);
                assert(startAttempt[AT(o, w)] > highestStarted);
                assert(attemptState[1 - w] != Executing && attemptState[w] != Executing);
                assert(startCheckpoint[AT(o, w)] >= highestResumedCheckpoint);
                workerAttempt[w] = startAttempt[AT(o, w)]; attemptState[w] = Executing;
                highestStarted = workerAttempt[w]; highestResumedCheckpoint = startCheckpoint[AT(o, w)];
#ifdef REACH_RESUME
                assert(highestResumedCheckpoint == 0);
#endif
#ifdef REACH_START_BY_SUCCESSOR
                assert(o == 0 || highestStarted != 1);
#endif
            :: else
            fi
        :: else
        fi;
        startAttempt[AT(o, w)] = 0; startCheckpoint[AT(o, w)] = 0
    }
}

inline lapseLease(w)
{
    d_step {
        !leaseLapsed[w] ->
        leaseLapsed[w] = true;
        attemptState[w] = (attemptState[w] == Executing -> Lapsed : attemptState[w]);
        startAttempt[AT(0, w)] = 0; startCheckpoint[AT(0, w)] = 0;
        startAttempt[AT(1, w)] = 0; startCheckpoint[AT(1, w)] = 0
    }
}

proctype Worker(byte w)
{
end:
    do
    :: deliverStart(w, 0)
    :: deliverStart(w, 1)
    :: d_step { attemptState[w] == Executing -> attemptState[w] = Checkpointed }
    :: d_step { attemptState[w] == Executing -> attemptState[w] = Succeeded }
    :: lapseLease(w)
    od
}

init
{
    atomic {
        isOwner[0] = true; knownVersion[0] = 1;
        taskPhase[0] = Pending; taskPhase[1] = Pending; writerState[0] = Idle; writerState[1] = Idle;
        run Worker(0);
        run Worker(1)
    }
}
