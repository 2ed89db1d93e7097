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
mtype = { Read, Claim, Await, Send, Sent, Record, AwaitRecord, Finished };    /* step of an entry VM */

mtype rowPhase = Absent;
byte rowClaimer = 0;
byte version = 0;

mtype entryState[2] = Read;
byte readVersion[2];            /* version the claim is conditional on */
byte grantedVersion[2];         /* version of the granted claim, 0 for none */
bool claimInFlight[2];        /* a copy of the claim is under way */
byte claimVersion[2];
bool recordInFlight[2];      /* a copy of the record of the outcome is under way */
mtype outcome[2] = Unknown;
mtype answer[2] = Absent;

byte runCount = 0;
bool hasRun[2];
byte resends[2];

#define MAX_RESENDS 1

inline answerAndStop(e, what)
{
    answer[e] = what;
    entryState[e] = Finished
}

/* What was told stays true: nothing has run, unless a later submission ran it. */
#define ANSWER_IS_TRUE(e) assert(answer[e] != NotRun || !hasRun[e])

inline readRow(e)
{
    atomic {
        entryState[e] == Read ->
        if
        :: rowPhase == Absent || rowPhase == NotRun -> readVersion[e] = version; entryState[e] = Claim
        :: rowPhase == Claimed && rowClaimer == e -> grantedVersion[e] = version; entryState[e] = Send
        :: rowPhase == Claimed && rowClaimer != e -> answerAndStop(e, Unknown)
        :: rowPhase == Unknown -> answerAndStop(e, Unknown)
        :: rowPhase == Completed -> answerAndStop(e, Completed)
        :: tableDown(e)
        fi
    }
}

/* The other submission may have run or may yet run. */
inline tableDown(e)
{
#ifdef NOT_RUN_IN_OUTAGE
    answerAndStop(e, NotRun);
    assert(runCount == 0)
#else
    answerAndStop(e, Unknown)
#endif
}

inline sendClaim(e)
{
    d_step {
        entryState[e] == Claim ->
        claimInFlight[e] = true; claimVersion[e] = readVersion[e]; entryState[e] = Await
    }
}

/* The table takes a copy of the claim; the copy may come again. */
inline deliverClaim(e)
{
    atomic {
        claimInFlight[e] ->
        if
        :: version == claimVersion[e] ->
            version++; rowPhase = Claimed; rowClaimer = e;
            if
            :: entryState[e] == Await -> grantedVersion[e] = version; entryState[e] = Send
            :: skip
            fi
        :: version != claimVersion[e] ->
            if
            :: entryState[e] == Await -> entryState[e] = Read
            :: skip
            fi
        fi;
        if
        :: claimInFlight[e] = false
        :: skip
        fi
    }
}

/* No answer to the claim. */
inline claimUnanswered(e)
{
    atomic {
        entryState[e] == Await ->
#ifdef CLAIM_NOT_READ
        entryState[e] = Send;
        grantedVersion[e] = version
#else
        entryState[e] = Read
#endif
    }
}

inline execute(e)
{
    runCount++; hasRun[e] = true;
    assert(runCount <= 1);
    ANSWER_IS_TRUE(0); ANSWER_IS_TRUE(1)
}

inline sendRequest(e)
{
    atomic {
        entryState[e] == Send ->
        if
        :: outcome[e] = NotRun                       /* no byte reached the backend server, or it refused */
        :: execute(e); outcome[e] = Completed
        :: execute(e); outcome[e] = Unknown              /* broken after the run */
        :: outcome[e] = Unknown                      /* broken before the run */
        fi;
        entryState[e] = Record;
#ifdef RETRY_AFTER_BROKEN
        if
        :: outcome[e] == Unknown && resends[e] < MAX_RESENDS -> resends[e]++; entryState[e] = Send
        :: else
        fi
#endif
    }
}

inline sendRecord(e)
{
    d_step { entryState[e] == Record -> recordInFlight[e] = true; entryState[e] = AwaitRecord }
}

/* The condition on the granted version holds at most once, so copies are harmless. */
inline deliverRecord(e)
{
    atomic {
        recordInFlight[e] ->
        if
        :: version == grantedVersion[e] -> version++; rowPhase = outcome[e]
        :: else
        fi;
        if
        :: recordInFlight[e] = false
        :: skip
        fi
    }
}

/* The caller is answered once the record is written, or without it when the table does not answer. */
inline answerCaller(e)
{
    atomic {
        entryState[e] == AwaitRecord ->
        answerAndStop(e, outcome[e]);
#ifdef REACH_NOT_RUN
        assert(answer[e] != NotRun || runCount == 0);
#endif
        ANSWER_IS_TRUE(e)
    }
}

proctype Entry(byte e)
{
end:
    do
    :: readRow(e)
    :: sendClaim(e)
    :: claimUnanswered(e)
    :: sendRequest(e)
    :: sendRecord(e)
    :: answerCaller(e)
    :: entryState[e] != Finished -> answerAndStop(e, Absent)  /* killed, the caller hears nothing */
    od
}

active proctype Table()
{
end:
    do
    :: deliverClaim(0)
    :: deliverClaim(1)
    :: deliverRecord(0)
    :: deliverRecord(1)
#ifdef REACH_COMPLETED_AT_BOTH
    :: d_step { answer[0] == Completed && answer[1] == Completed -> assert(false) }
#endif
    od
}

init
{
    atomic { run Entry(0); run Entry(1) }
}
