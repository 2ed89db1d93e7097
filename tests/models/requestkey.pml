/*
  Claim of an idempotency key by two entry VMs: at most one run, and "not-run" is never said of a request
  that ran. Stands for Requests::KeyClaim and KeyWriteBatch.

  checkmodel bounds depth=100000 memory_mb=950
  checkmodel broken RETRY_AFTER_BROKEN
  checkmodel broken CLAIM_NOT_READ
  checkmodel broken NOT_RUN_IN_OUTAGE
  checkmodel reached REACH_COMPLETED_AT_BOTH
  checkmodel reached REACH_NOT_RUN

  A caller submits one request to two entry VMs, at once or one after the other. Either VM is killed at any
  step. Writes take effect late or never and their answers are lost; the table is down at any time. The send
  to the backend server breaks before its first byte, or later with the request run or not.
*/

mtype = { Absent, Claimed, Completed, Unknown, NotRun };                  /* phase of the row, and answers */
mtype = { Read, Claim, Await, Send, Sent, Record, AwaitRecord, Over };    /* step of an entry VM */

mtype row = Absent;
byte rowClaimer = 0;
byte version = 0;

mtype step[2] = Read;
byte seen[2];            /* version the claim is conditional on */
byte granted[2];         /* version of the granted claim, 0 for none */
bool copySent[2];        /* a copy of the claim is under way */
byte copyVersion[2];
bool recordSent[2];      /* a copy of the record of the outcome is under way */
mtype outcome[2] = Unknown;
mtype answer[2] = Absent;

byte runs = 0;
bool ranBy[2];
byte resends[2];

#define MAX_RESENDS 1

inline say(e, what)
{
    answer[e] = what;
    step[e] = Over
}

/* What was told stays true: nothing has run, unless a later submission ran it. */
#define TOLD_TRULY(e) assert(answer[e] != NotRun || !ranBy[e])

inline readRow(e)
{
    atomic {
        step[e] == Read ->
        if
        :: row == Absent || row == NotRun -> seen[e] = version; step[e] = Claim
        :: row == Claimed && rowClaimer == e -> granted[e] = version; step[e] = Send
        :: row == Claimed && rowClaimer != e -> say(e, Unknown)
        :: row == Unknown -> say(e, Unknown)
        :: row == Completed -> say(e, Completed)
        :: tableDown(e)
        fi
    }
}

/* The other submission may have run or may yet run. */
inline tableDown(e)
{
#ifdef NOT_RUN_IN_OUTAGE
    say(e, NotRun);
    assert(runs == 0)
#else
    say(e, Unknown)
#endif
}

inline sendClaim(e)
{
    d_step {
        step[e] == Claim ->
        copySent[e] = true; copyVersion[e] = seen[e]; step[e] = Await
    }
}

/* The table takes a copy of the claim; the copy may come again. */
inline takeClaim(e)
{
    atomic {
        copySent[e] ->
        if
        :: version == copyVersion[e] ->
            version++; row = Claimed; rowClaimer = e;
            if
            :: step[e] == Await -> granted[e] = version; step[e] = Send
            :: skip
            fi
        :: version != copyVersion[e] ->
            if
            :: step[e] == Await -> step[e] = Read
            :: skip
            fi
        fi;
        if
        :: copySent[e] = false
        :: skip
        fi
    }
}

/* No answer to the claim. */
inline claimLost(e)
{
    atomic {
        step[e] == Await ->
#ifdef CLAIM_NOT_READ
        step[e] = Send;
        granted[e] = version
#else
        step[e] = Read
#endif
    }
}

inline execute(e)
{
    runs++; ranBy[e] = true;
    assert(runs <= 1);
    TOLD_TRULY(0); TOLD_TRULY(1)
}

inline sendRequest(e)
{
    atomic {
        step[e] == Send ->
        if
        :: outcome[e] = NotRun                       /* no byte reached the backend server, or it refused */
        :: execute(e); outcome[e] = Completed
        :: execute(e); outcome[e] = Unknown              /* broken after the run */
        :: outcome[e] = Unknown                      /* broken before the run */
        fi;
        step[e] = Record;
#ifdef RETRY_AFTER_BROKEN
        if
        :: outcome[e] == Unknown && resends[e] < MAX_RESENDS -> resends[e]++; step[e] = Send
        :: else
        fi
#endif
    }
}

inline sendRecord(e)
{
    d_step { step[e] == Record -> recordSent[e] = true; step[e] = AwaitRecord }
}

/* The condition on the granted version holds at most once, so copies are harmless. */
inline takeRecord(e)
{
    atomic {
        recordSent[e] ->
        if
        :: version == granted[e] -> version++; row = outcome[e]
        :: else
        fi;
        if
        :: recordSent[e] = false
        :: skip
        fi
    }
}

/* The caller is answered once the record is written, or without it when the table does not answer. */
inline answerCaller(e)
{
    atomic {
        step[e] == AwaitRecord ->
        say(e, outcome[e]);
#ifdef REACH_NOT_RUN
        assert(answer[e] != NotRun || runs == 0);
#endif
        TOLD_TRULY(e)
    }
}

proctype Entry(byte e)
{
end:
    do
    :: readRow(e)
    :: sendClaim(e)
    :: claimLost(e)
    :: sendRequest(e)
    :: sendRecord(e)
    :: answerCaller(e)
    :: step[e] != Over -> say(e, Absent)             /* killed, the caller hears nothing */
    od
}

active proctype Table()
{
end:
    do
    :: takeClaim(0)
    :: takeClaim(1)
    :: takeRecord(0)
    :: takeRecord(1)
#ifdef REACH_COMPLETED_AT_BOTH
    :: d_step { answer[0] == Completed && answer[1] == Completed -> assert(false) }
#endif
    od
}

init
{
    atomic { run Entry(0); run Entry(1) }
}
