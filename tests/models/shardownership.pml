/*
  Ownership of a shard and leases at its workers: a task never runs in two places.
  Models Batch::ShardOwner, ShardWatch, FencedWriter, WorkerLink and WorkerCore.

  checkmodel bounds depth=100000 memory_mb=950
  checkmodel broken NO_FENCING
  checkmodel broken NO_WAIT
  checkmodel broken LEASE_FROM_RECEIPT
  checkmodel reached REACH_SECOND_ATTEMPT
  checkmodel reached REACH_SECOND_OWNER

  There are one shard, one task, a first owner of one worker, and a second owner of two workers. The first
  owner is replaced once and continues at any later time, as a pause may end at any point. Batches may be
  lost, duplicated or delayed by any time. Reports may be lost; late reports are not modelled, as they are
  less useful than none. Counters count ticks of one clock; the margin for clock rates is not modelled.

  A worker stamps each report with its clock. A command batch returns the stamp of the last report that its
  sender has, and the lease that it grants starts at that stamp. Counters of age represent the stamps.
*/

#define LEASE 2  /* ticks of the shard's lease and of the lease at a worker */
#define GRACE 2  /* ticks for which an owner renews leases of workers while the table is unreachable */
#define MAX_ATTEMPT 2
#define AT(o, w) ((o) * 2 + (w))

#ifdef NO_WAIT
#define TAKEOVER_LAPSE 0
#else
#define TAKEOVER_LAPSE (GRACE + LEASE)
#endif

/* The table: the shard row's epoch and the task's attempt, which is recorded and not started at first. */
byte rowEpoch = 1;
byte attempt = 1;
byte attemptWorker = 0;
byte attemptEpoch = 1;

/* Owners. */
byte ownerEpoch[2];        /* epoch that the owner assumes to hold; 0 for none */
byte remainingGrace;       /* ticks left of the first owner's grace, which starts before its last renewal */
byte remainingRenewal;     /* the same for a renewal that is in progress */
byte unchangedTicks;       /* ticks for which the second owner has seen the row unchanged */
bool rowChanged;           /* the row was written since the second owner last read it */
bool hasReported[4];
byte stampAge[4];          /* age of the last report's stamp; LEASE if there is none or it is older */
byte ticksSinceReport[4];  /* since the last report was received */
byte ticksUntilLapse[4];   /* ticks until every lease granted to the worker has certainly lapsed */
bool attemptOver[2];       /* the recorded attempt runs nowhere, and no batch can start it any more */

/* Batches in flight, one for each owner and worker. */
bool batchInFlight[4];
byte batchEpoch[4];
byte batchStart[4];
byte batchAge[4];

/* Workers. */
byte highestEpoch[2];
byte runningAttempt[2];  /* 0 for none */
byte lastStarted[2];
byte remainingLease[2];

#define INCREMENT(x) x = ((x) < LEASE -> (x) + 1 : LEASE)
#define DECREMENT(x) x = ((x) > 0 -> (x) - 1 : 0)

inline tickPair(p)
{
    INCREMENT(stampAge[p]);
    INCREMENT(ticksSinceReport[p]);
    DECREMENT(ticksUntilLapse[p]);
    if
    :: batchInFlight[p] -> INCREMENT(batchAge[p])
    :: else
    fi
}

inline tickWorker(w)
{
    DECREMENT(remainingLease[w]);
    if
    :: remainingLease[w] == 0 -> runningAttempt[w] = 0
    :: else
    fi
}

active proctype Clock()
{
end:
    do
    :: d_step {
        DECREMENT(remainingGrace); DECREMENT(remainingRenewal); INCREMENT(unchangedTicks);
        tickPair(0); tickPair(2); tickPair(3);
        tickWorker(0); tickWorker(1)
    }
    od
}

inline resetPair(p)
{
    hasReported[p] = false; stampAge[p] = LEASE; ticksSinceReport[p] = LEASE; ticksUntilLapse[p] = 0
}

inline stepDown(o)
{
    ownerEpoch[o] = 0; attemptOver[o] = false;
    resetPair(AT(o, 0)); resetPair(AT(o, 1))
}

inline renew()
{
    d_step { ownerEpoch[0] > 0 && remainingGrace < GRACE -> remainingRenewal = GRACE };
    d_step {
        if
        :: rowEpoch == ownerEpoch[0] -> remainingGrace = remainingRenewal; rowChanged = true
        :: else -> stepDown(0); remainingGrace = 0
        fi;
        remainingRenewal = 0
    }
}

inline takeOver()
{
    d_step {
        ownerEpoch[1] == 0 && unchangedTicks == LEASE && !rowChanged ->
        rowEpoch = 2; ownerEpoch[1] = 2;
        ticksUntilLapse[AT(1, 0)] = TAKEOVER_LAPSE; ticksUntilLapse[AT(1, 1)] = TAKEOVER_LAPSE;
#ifdef REACH_SECOND_OWNER
        assert(runningAttempt[0] == 0);
#endif
    }
}

inline receiveReport(o, w)
{
    if
    :: ownerEpoch[o] > 0 && highestEpoch[w] > ownerEpoch[o] -> stepDown(o)
    :: ownerEpoch[o] > 0 && highestEpoch[w] == ownerEpoch[o] ->
        ticksUntilLapse[AT(o, w)] = (hasReported[AT(o, w)] -> ticksUntilLapse[AT(o, w)] : LEASE);
        hasReported[AT(o, w)] = true;
        stampAge[AT(o, w)] = 0;
        ticksSinceReport[AT(o, w)] = 0;
        if
        :: rowEpoch == ownerEpoch[o] && attemptWorker == w && runningAttempt[w] != attempt &&
            (attemptEpoch < ownerEpoch[o] || lastStarted[w] >= attempt) -> attemptOver[o] = true
        :: else
        fi
    :: else
    fi
}

inline declareLost(o)
{
    d_step {
        ownerEpoch[o] > 0 && rowEpoch == ownerEpoch[o] && !attemptOver[o] &&
            ticksSinceReport[AT(o, attemptWorker)] == LEASE && ticksUntilLapse[AT(o, attemptWorker)] == 0 ->
        hasReported[AT(o, attemptWorker)] = false;
        stampAge[AT(o, attemptWorker)] = LEASE;
        attemptOver[o] = true
    }
}

/* The write is conditional on the shard row, so it fails for an owner that was replaced. */
inline recordAttempt(o, w)
{
    d_step {
        ownerEpoch[o] > 0 && attemptOver[o] && hasReported[AT(o, w)] && attempt < MAX_ATTEMPT ->
        if
        :: rowEpoch == ownerEpoch[o] ->
            attempt++; attemptWorker = w; attemptEpoch = ownerEpoch[o]; attemptOver[o] = false
        :: else -> stepDown(o)
        fi
    }
}

/* A pause between the check and the send is equivalent to a late message. */
inline sendBatch(o, w)
{
    d_step {
        ownerEpoch[o] > 0 && (o == 1 || remainingGrace > 0) && !batchInFlight[AT(o, w)] ->
        batchInFlight[AT(o, w)] = true; batchEpoch[AT(o, w)] = ownerEpoch[o];
        batchAge[AT(o, w)] = stampAge[AT(o, w)];
        if
        :: hasReported[AT(o, w)] ->
            ticksUntilLapse[AT(o, w)] = (LEASE - ticksSinceReport[AT(o, w)] > ticksUntilLapse[AT(o, w)] ->
                LEASE - ticksSinceReport[AT(o, w)] : ticksUntilLapse[AT(o, w)]);
            if
            :: rowEpoch == ownerEpoch[o] && attemptWorker == w && attemptEpoch == ownerEpoch[o] &&
                    !attemptOver[o] ->
                batchStart[AT(o, w)] = attempt
            :: else
            fi
        :: else
        fi
    }
}

active proctype FirstOwner()
{
end:
    do
    :: renew()
    :: sendBatch(0, 0)
    od
}

active proctype SecondOwner()
{
end:
    do
    :: takeOver()
    :: d_step { ownerEpoch[1] == 0 && rowChanged -> rowChanged = false; unchangedTicks = 0 }
    :: declareLost(1)
    :: recordAttempt(1, 0)
    :: recordAttempt(1, 1)
    :: sendBatch(1, 0)
    :: sendBatch(1, 1)
    od
}

inline startAttempt(w, number, duration)
{
    runningAttempt[w] = number; lastStarted[w] = number; remainingLease[w] = duration;
    assert(runningAttempt[1 - w] == 0);
#ifdef REACH_SECOND_ATTEMPT
    assert(runningAttempt[w] < 2);
#endif
}

inline deliverBatch(w, o)
{
    atomic {
        batchInFlight[AT(o, w)] ->
#ifdef LEASE_FROM_RECEIPT
        grant = LEASE;
#else
        grant = LEASE - batchAge[AT(o, w)];
#endif
        if
#ifndef NO_FENCING
        :: batchEpoch[AT(o, w)] < highestEpoch[w] -> skip
#endif
        :: else ->
            highestEpoch[w] = (batchEpoch[AT(o, w)] > highestEpoch[w] ->
                batchEpoch[AT(o, w)] : highestEpoch[w]);
            if
            :: runningAttempt[w] > 0 && grant > remainingLease[w] -> remainingLease[w] = grant
            :: runningAttempt[w] == 0 && batchStart[AT(o, w)] > lastStarted[w] && grant > 0 ->
                startAttempt(w, batchStart[AT(o, w)], grant)
            :: else
            fi
        fi;
        grant = 0;
        if
        :: receiveReport(o, w)
        :: skip
        fi
    }
}

/* The last delivery of a batch or its loss. */
inline dropBatch(w, o)
{
    d_step {
        batchInFlight[AT(o, w)] ->
        batchInFlight[AT(o, w)] = false; batchEpoch[AT(o, w)] = 0;
        batchStart[AT(o, w)] = 0; batchAge[AT(o, w)] = 0
    }
}

proctype Worker(byte w)
{
    byte grant = 0;
end:
    do
    :: deliverBatch(w, 0)
    :: dropBatch(w, 0)
    :: deliverBatch(w, 1)
    :: dropBatch(w, 1)
    :: d_step { runningAttempt[w] > 0 -> runningAttempt[w] = 0; remainingLease[w] = 0 }
    od
}

init
{
    atomic {
        ownerEpoch[0] = 1; remainingGrace = GRACE; rowChanged = true;
        resetPair(0); resetPair(1); resetPair(2); resetPair(3);
        run Worker(0);
        run Worker(1)
    }
}
