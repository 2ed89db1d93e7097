/*
  Acceptance and spreading of the configuration: no accepted change is lost, each caller is told the truth,
  and no process ever goes back to a lower revision.
  Stands for Configuration::ConfigurationStore and ConfigurationCache.

  checkmodel bounds depth=200000 memory_mb=950
  checkmodel broken BLIND_RETRY
  checkmodel broken APPLY_LOWER
  checkmodel broken CONFLICT_MEANS_LOST
  checkmodel broken READY_WITHOUT_DOCUMENT
  checkmodel reached REACH_BOTH_ACCEPTED
  checkmodel reached REACH_RESOLVED_LATE

  Two operators race; each starts from the revision that it has read and may start again from a newer one.
  Commits take effect late or never, come twice, and their answers are lost; the table is down at any time.
  Two processes learn revisions from the table or from each other, late and in any order, are cut off, and
  are restarted. A process that is not ready serves nobody.
*/

#define MAX_REVISION 3
#define OPERATORS 2
#define PROCESSES 2
#define CHANGE(o, attempt) ((o) * 2 + (attempt))  /* id of a change: its write id */
#define NONE 9

mtype = { Idle, Started, Awaiting, Resolving, Told };

/* The table: the row in force and the history, which change became which revision. */
byte current = 0;
byte history[4] = NONE;

/* Operators. */
mtype step[OPERATORS] = Idle;
byte base[OPERATORS];
byte attempt[OPERATORS];        /* each operator makes up to two changes */
bool copySent[OPERATORS];       /* a copy of the commit is under way */
byte copyBase[OPERATORS];
byte copyChange[OPERATORS];

/* What callers were told, by change. */
bool toldAccepted[4];
bool toldLost[4];

/* Processes. */
byte inForce[PROCESSES];
byte highest[PROCESSES];        /* highest revision served since the start */
bool ready[PROCESSES];
byte offered[PROCESSES];        /* a revision on its way to the process, from the table or a peer */

inline tell(o, accepted)
{
    toldAccepted[CHANGE(o, attempt[o])] = accepted;
    toldLost[CHANGE(o, attempt[o])] = !accepted;
    step[o] = Told
}

inline readBase(o)
{
    d_step { step[o] == Idle -> base[o] = current; step[o] = Started }
}

inline sendCommit(o)
{
    d_step {
        step[o] == Started && !copySent[o] ->
        copySent[o] = true; copyBase[o] = base[o]; copyChange[o] = CHANGE(o, attempt[o]);
        step[o] = Awaiting
    }
}

/* Both conditions of the commit: the row in force is the base, and the base has no successor. */
inline takeCommit(o)
{
    atomic {
        copySent[o] ->
        if
        :: current == copyBase[o] && current < MAX_REVISION ->
            current++;
            history[current] = copyChange[o];
            /* A change becomes one revision. */
            assert(current == 1 || history[current] != history[current - 1]);
            assert(current < 3 || history[current] != history[1]);
            assert(!toldLost[copyChange[o]]);
            if
            :: step[o] == Awaiting && copyChange[o] == CHANGE(o, attempt[o]) -> tell(o, true)
            :: skip
            fi
        :: current != copyBase[o] ->
            if
            :: step[o] == Awaiting && copyChange[o] == CHANGE(o, attempt[o]) ->
#ifdef CONFLICT_MEANS_LOST
                tell(o, false);
                assert(history[copyBase[o] + 1] != copyChange[o])
#else
                step[o] = Resolving
#endif
            :: skip
            fi
        :: else
        fi;
        if
        :: copySent[o] = false; copyBase[o] = 0; copyChange[o] = 0
        :: skip
        fi
    }
}

/* No answer: the same commit again, whose conditions hold at most once. */
inline sendAgain(o)
{
    d_step {
        step[o] == Awaiting ->
#ifdef BLIND_RETRY
        base[o] = current;
#endif
        step[o] = Started
    }
}

/* The history of the base's successor tells for good whose change it is. */
inline resolve(o)
{
    d_step {
        step[o] == Resolving ->
        if
        :: history[base[o] + 1] == CHANGE(o, attempt[o]) ->
#ifdef REACH_RESOLVED_LATE
            assert(current == base[o] + 1);
#endif
            tell(o, true)
        :: else -> tell(o, false)
        fi;
        assert(!toldAccepted[CHANGE(o, attempt[o])] || history[base[o] + 1] == CHANGE(o, attempt[o]));
#ifdef REACH_BOTH_ACCEPTED
        assert(!(toldAccepted[0] && toldAccepted[2]));
#endif
    }
}

/* The operator looks at the difference and starts a new change from the newest revision. */
inline startAgain(o)
{
    d_step { step[o] == Told && attempt[o] == 0 -> attempt[o] = 1; step[o] = Idle; base[o] = 0 }
}

proctype Operator(byte o)
{
end:
    do
    :: readBase(o)
    :: sendCommit(o)
    :: sendAgain(o)
    :: resolve(o)
    :: startAgain(o)
    od
}

active proctype Table()
{
end:
    do
    :: takeCommit(0)
    :: takeCommit(1)
    od
}

inline offer(p)
{
    d_step {
        offered[p] > 0 ->
        if
#ifdef APPLY_LOWER
        :: offered[p] != inForce[p] -> inForce[p] = offered[p]; ready[p] = true
#else
        :: offered[p] > inForce[p] -> inForce[p] = offered[p]; ready[p] = true
#endif
        :: else
        fi;
        offered[p] = 0;
    }
}

inline serve(p)
{
    d_step {
        ready[p] ->
        assert(inForce[p] >= highest[p] && inForce[p] > 0);
        assert(inForce[p] <= current);
        highest[p] = inForce[p]
    }
}

inline restart(p)
{
    d_step {
        inForce[p] = 0; highest[p] = 0; offered[p] = 0; ready[p] = false;
#ifdef READY_WITHOUT_DOCUMENT
        ready[p] = true
#endif
    }
}

proctype Process(byte p)
{
end:
    do
    :: d_step { offered[p] != current -> offered[p] = current }                   /* read of the table */
    :: d_step { inForce[1 - p] > 0 && offered[p] != inForce[1 - p] -> offered[p] = inForce[1 - p] }
    :: offer(p)
    :: serve(p)
    :: restart(p)
    od
}

init
{
    atomic { run Operator(0); run Operator(1); run Process(0); run Process(1) }
}
