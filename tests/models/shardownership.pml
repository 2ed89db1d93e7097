/*
  Ownership of a shard and leases at its workers: a task never runs in two places.
  Stands for Batch::ShardOwner, ShardWatch, FencedWriter, WorkerLink and WorkerCore.

  checkmodel bounds depth=100000 memory_mb=950
  checkmodel broken NO_FENCING
  checkmodel broken NO_WAIT
  checkmodel broken LEASE_FROM_RECEIPT
  checkmodel reached REACH_SECOND_ATTEMPT
  checkmodel reached REACH_SECOND_OWNER

  One shard, one task, an owner of one worker that is replaced once and comes back any time later, as a
  pause may end anywhere, and a second owner of two workers. Batches are lost, duplicated and late by any time; a late report is less use than
  a lost one. Counters count ticks of one clock; the margin for clock rates is not modelled.

  A worker stamps each report; a command batch gives back the stamp of the last report that its sender has,
  and the lease it grants counts from that stamp. Age counters stand for the stamps.
*/

#define LEASE 2  /* ticks of the shard's lease and of the lease at a worker */
#define GRACE 2  /* ticks for which an owner renews workers without reaching the table */
#define MAX_ATTEMPT 2
#define AT(o, w) ((o) * 2 + (w))

#ifdef NO_WAIT
#define TAKEOVER_LAPSE 0
#else
#define TAKEOVER_LAPSE (GRACE + LEASE)
#endif

/* Shard row and attempt of the task in the table; the attempt is recorded and not yet started. */
byte rowEpoch = 1;
byte attempt = 1;
byte attemptWorker = 0;
byte attemptEpoch = 1;

/* Owners. */
byte epochOf[2];      /* epoch the owner believes to hold, 0 for none */
byte graceLeft;       /* rest of the first owner's grace, counted from before its last renewal */
byte renewalLeft;     /* the same for a renewal in progress */
byte unchanged;       /* ticks for which the second owner saw the row unchanged */
bool stale;           /* the row was written since the second owner saw it */
bool heard[4];
byte stampAge[4];     /* age of the last report from a worker, LEASE if none or older */
byte quiet[4];        /* ticks since the last report was received */
byte lapseLeft[4];    /* until every lease granted to the worker has surely lapsed */
bool gone[2];         /* the recorded attempt runs nowhere, and no batch can start it any more */

/* Batches under way, one for each owner and worker. */
bool batchSent[4];
byte batchEpoch[4];
byte batchStart[4];
byte batchAge[4];

/* Workers. */
byte highestEpoch[2];
byte running[2];      /* attempt, 0 for none */
byte lastStarted[2];
byte leaseLeft[2];

#define GROW(x) x = ((x) < LEASE -> (x) + 1 : LEASE)
#define SHRINK(x) x = ((x) > 0 -> (x) - 1 : 0)

inline tickPair(p)
{
    GROW(stampAge[p]);
    GROW(quiet[p]);
    SHRINK(lapseLeft[p]);
    if
    :: batchSent[p] -> GROW(batchAge[p])
    :: else
    fi
}

inline tickWorker(w)
{
    SHRINK(leaseLeft[w]);
    if
    :: leaseLeft[w] == 0 -> running[w] = 0
    :: else
    fi
}

active proctype Clock()
{
end:
    do
    :: d_step {
        SHRINK(graceLeft); SHRINK(renewalLeft); GROW(unchanged);
        tickPair(0); tickPair(2); tickPair(3);
        tickWorker(0); tickWorker(1)
    }
    od
}

inline forgetPair(p)
{
    heard[p] = false; stampAge[p] = LEASE; quiet[p] = LEASE; lapseLeft[p] = 0
}

inline stepDown(o)
{
    epochOf[o] = 0; gone[o] = false;
    forgetPair(AT(o, 0)); forgetPair(AT(o, 1))
}

inline renew()
{
    d_step { epochOf[0] > 0 && graceLeft < GRACE -> renewalLeft = GRACE };
    d_step {
        if
        :: rowEpoch == epochOf[0] -> graceLeft = renewalLeft; stale = true
        :: else -> stepDown(0); graceLeft = 0
        fi;
        renewalLeft = 0
    }
}

inline takeOver()
{
    d_step {
        epochOf[1] == 0 && unchanged == LEASE && !stale ->
        rowEpoch = 2; epochOf[1] = 2;
        lapseLeft[AT(1, 0)] = TAKEOVER_LAPSE; lapseLeft[AT(1, 1)] = TAKEOVER_LAPSE;
#ifdef REACH_SECOND_OWNER
        assert(running[0] == 0);
#endif
    }
}

inline receiveReport(o, w)
{
    if
    :: epochOf[o] > 0 && highestEpoch[w] > epochOf[o] -> stepDown(o)
    :: epochOf[o] > 0 && highestEpoch[w] == epochOf[o] ->
        lapseLeft[AT(o, w)] = (heard[AT(o, w)] -> lapseLeft[AT(o, w)] : LEASE);
        heard[AT(o, w)] = true;
        stampAge[AT(o, w)] = 0;
        quiet[AT(o, w)] = 0;
        if
        :: rowEpoch == epochOf[o] && attemptWorker == w && running[w] != attempt &&
            (attemptEpoch < epochOf[o] || lastStarted[w] >= attempt) -> gone[o] = true
        :: else
        fi
    :: else
    fi
}

inline giveUp(o)
{
    d_step {
        epochOf[o] > 0 && rowEpoch == epochOf[o] && !gone[o] &&
            quiet[AT(o, attemptWorker)] == LEASE && lapseLeft[AT(o, attemptWorker)] == 0 ->
        heard[AT(o, attemptWorker)] = false;
        stampAge[AT(o, attemptWorker)] = LEASE;
        gone[o] = true
    }
}

/* Conditional on the shard row: fails for an owner that was replaced. */
inline record(o, w)
{
    d_step {
        epochOf[o] > 0 && gone[o] && heard[AT(o, w)] && attempt < MAX_ATTEMPT ->
        if
        :: rowEpoch == epochOf[o] -> attempt++; attemptWorker = w; attemptEpoch = epochOf[o]; gone[o] = false
        :: else -> stepDown(o)
        fi
    }
}

/* A pause between the check and the sending is the same as a late message. */
inline sendBatch(o, w)
{
    d_step {
        epochOf[o] > 0 && (o == 1 || graceLeft > 0) && !batchSent[AT(o, w)] ->
        batchSent[AT(o, w)] = true; batchEpoch[AT(o, w)] = epochOf[o]; batchAge[AT(o, w)] = stampAge[AT(o, w)];
        if
        :: heard[AT(o, w)] ->
            lapseLeft[AT(o, w)] = (LEASE - quiet[AT(o, w)] > lapseLeft[AT(o, w)] ->
                LEASE - quiet[AT(o, w)] : lapseLeft[AT(o, w)]);
            if
            :: rowEpoch == epochOf[o] && attemptWorker == w && attemptEpoch == epochOf[o] && !gone[o] ->
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
    :: d_step { epochOf[1] == 0 && stale -> stale = false; unchanged = 0 }
    :: giveUp(1)
    :: record(1, 0)
    :: record(1, 1)
    :: sendBatch(1, 0)
    :: sendBatch(1, 1)
    od
}

inline start(w, number, duration)
{
    running[w] = number; lastStarted[w] = number; leaseLeft[w] = duration;
    assert(running[1 - w] == 0);
#ifdef REACH_SECOND_ATTEMPT
    assert(running[w] < 2);
#endif
}

inline takeBatch(w, o)
{
    atomic {
        batchSent[AT(o, w)] ->
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
            highestEpoch[w] = (batchEpoch[AT(o, w)] > highestEpoch[w] -> batchEpoch[AT(o, w)] : highestEpoch[w]);
            if
            :: running[w] > 0 && grant > leaseLeft[w] -> leaseLeft[w] = grant
            :: running[w] == 0 && batchStart[AT(o, w)] > lastStarted[w] && grant > 0 ->
                start(w, batchStart[AT(o, w)], grant)
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

/* The last delivery of a batch, or its loss. */
inline dropBatch(w, o)
{
    d_step {
        batchSent[AT(o, w)] ->
        batchSent[AT(o, w)] = false; batchEpoch[AT(o, w)] = 0; batchStart[AT(o, w)] = 0; batchAge[AT(o, w)] = 0
    }
}

proctype Worker(byte w)
{
    byte grant = 0;
end:
    do
    :: takeBatch(w, 0)
    :: dropBatch(w, 0)
    :: takeBatch(w, 1)
    :: dropBatch(w, 1)
    :: d_step { running[w] > 0 -> running[w] = 0; leaseLeft[w] = 0 }
    od
}

init
{
    atomic {
        epochOf[0] = 1; graceLeft = GRACE; stale = true;
        forgetPair(0); forgetPair(1); forgetPair(2); forgetPair(3);
        run Worker(0);
        run Worker(1)
    }
}
