/*
  Acceptance and distribution of the configuration: no accepted change is lost, each caller gets the true
  outcome, and no process returns to a lower revision.
  Models Configuration::ConfigurationStore and ConfigurationCache.

  checkmodel bounds depth=200000 memory_mb=950
  checkmodel broken BLIND_RETRY
  checkmodel broken APPLY_LOWER
  checkmodel broken CONFLICT_MEANS_LOST
  checkmodel broken READY_WITHOUT_DOCUMENT
  checkmodel reached REACH_BOTH_ACCEPTED
  checkmodel reached REACH_RESOLVED_LATE

  Two operators make changes concurrently; each starts from the revision that it has read and may make a
  second change from a newer one. Commits may take effect late, twice or never, and their answers may be
  lost; the table may be unavailable at any time. Two processes learn revisions from the table or from each
  other, late and in any order; they may be disconnected or restarted. A process that is not ready serves no
  requests.
*/

#define MAX_REVISION 3
#define OPERATORS 2
#define PROCESSES 2
#define CHANGE(o, attempt) ((o) * 2 + (attempt))  /* id of a change, used as its write id */
#define NONE 9

mtype = { Idle, Started, Awaiting, Resolving, Reported };

/* The table: the revision in force, and the change that became each revision. */
byte current = 0;
byte history[4] = NONE;

/* Operators. */
mtype callerState[OPERATORS] = Idle;
byte baseRevision[OPERATORS];
byte attempt[OPERATORS];       /* number of the change; each operator makes up to two */
bool copyInFlight[OPERATORS];  /* a copy of the commit is in flight */
byte copyBase[OPERATORS];
byte copyChange[OPERATORS];

/* Outcomes reported to callers, by change. */
bool reportedAccepted[4];
bool reportedLost[4];

/* Processes. */
byte revisionInForce[PROCESSES];
byte highestServed[PROCESSES];    /* highest revision served since the process started */
bool ready[PROCESSES];
byte offeredRevision[PROCESSES];  /* revision in flight to the process, from the table or a peer */

inline reportOutcome(o, accepted)
{
    reportedAccepted[CHANGE(o, attempt[o])] = accepted;
    reportedLost[CHANGE(o, attempt[o])] = !accepted;
    callerState[o] = Reported
}

inline readBase(o)
{
    d_step { callerState[o] == Idle -> baseRevision[o] = current; callerState[o] = Started }
}

inline sendCommit(o)
{
    d_step {
        callerState[o] == Started && !copyInFlight[o] ->
        copyInFlight[o] = true; copyBase[o] = baseRevision[o]; copyChange[o] = CHANGE(o, attempt[o]);
        callerState[o] = Awaiting
    }
}

/* The commit has two conditions: its base is in force, and the base has no successor. */
inline deliverCommit(o)
{
    atomic {
        copyInFlight[o] ->
        if
        :: current == copyBase[o] && current < MAX_REVISION ->
            current++;
            history[current] = copyChange[o];
            /* A change becomes at most one revision. */
            assert(current == 1 || history[current] != history[current - 1]);
            assert(current < 3 || history[current] != history[1]);
            assert(!reportedLost[copyChange[o]]);
            if
            :: callerState[o] == Awaiting && copyChange[o] == CHANGE(o, attempt[o]) -> reportOutcome(o, true)
            :: skip
            fi
        :: current != copyBase[o] ->
            if
            :: callerState[o] == Awaiting && copyChange[o] == CHANGE(o, attempt[o]) ->
#ifdef CONFLICT_MEANS_LOST
                reportOutcome(o, false);
                assert(history[copyBase[o] + 1] != copyChange[o])
#else
                callerState[o] = Resolving
#endif
            :: skip
            fi
        :: else
        fi;
        if
        :: copyInFlight[o] = false; copyBase[o] = 0; copyChange[o] = 0
        :: skip
        fi
    }
}

/* There was no answer: the same commit is sent again; its conditions hold at most once. */
inline retryCommit(o)
{
    d_step {
        callerState[o] == Awaiting ->
#ifdef BLIND_RETRY
        baseRevision[o] = current;
#endif
        callerState[o] = Started
    }
}

/* The history entry of the base's successor finally determines whose change it is. */
inline resolveFromHistory(o)
{
    d_step {
        callerState[o] == Resolving ->
        if
        :: history[baseRevision[o] + 1] == CHANGE(o, attempt[o]) ->
#ifdef REACH_RESOLVED_LATE
            assert(current == baseRevision[o] + 1);
#endif
            reportOutcome(o, true)
        :: else -> reportOutcome(o, false)
        fi;
        assert(!reportedAccepted[CHANGE(o, attempt[o])] ||
            history[baseRevision[o] + 1] == CHANGE(o, attempt[o]));
#ifdef REACH_BOTH_ACCEPTED
        assert(!(reportedAccepted[0] && reportedAccepted[2]));
#endif
    }
}

/* The operator starts a new change from the newest revision. */
inline startNewChange(o)
{
    d_step {
        callerState[o] == Reported && attempt[o] == 0 ->
        attempt[o] = 1; callerState[o] = Idle; baseRevision[o] = 0
    }
}

proctype Operator(byte o)
{
end:
    do
    :: readBase(o)
    :: sendCommit(o)
    :: retryCommit(o)
    :: resolveFromHistory(o)
    :: startNewChange(o)
    od
}

active proctype Table()
{
end:
    do
    :: deliverCommit(0)
    :: deliverCommit(1)
    od
}

inline applyOffer(p)
{
    d_step {
        offeredRevision[p] > 0 ->
        if
#ifdef APPLY_LOWER
        :: offeredRevision[p] != revisionInForce[p] ->
            revisionInForce[p] = offeredRevision[p]; ready[p] = true
#else
        :: offeredRevision[p] > revisionInForce[p] ->
            revisionInForce[p] = offeredRevision[p]; ready[p] = true
#endif
        :: else
        fi;
        offeredRevision[p] = 0;
    }
}

inline serve(p)
{
    d_step {
        ready[p] ->
        assert(revisionInForce[p] >= highestServed[p] && revisionInForce[p] > 0);
        assert(revisionInForce[p] <= current);
        highestServed[p] = revisionInForce[p]
    }
}

inline restart(p)
{
    d_step {
        revisionInForce[p] = 0; highestServed[p] = 0; offeredRevision[p] = 0; ready[p] = false;
#ifdef READY_WITHOUT_DOCUMENT
        ready[p] = true
#endif
    }
}

proctype Process(byte p)
{
end:
    do
    :: d_step { offeredRevision[p] != current -> offeredRevision[p] = current }  /* read from the table */
    :: d_step {
        revisionInForce[1 - p] > 0 && offeredRevision[p] != revisionInForce[1 - p] ->
        offeredRevision[p] = revisionInForce[1 - p]
    }
    :: applyOffer(p)
    :: serve(p)
    :: restart(p)
    od
}

init
{
    atomic { run Operator(0); run Operator(1); run Process(0); run Process(1) }
}
