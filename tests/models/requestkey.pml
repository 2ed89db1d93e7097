/*
  Claim of an idempotency key by two entry VMs: the request runs at most once, and "not-run" is never
  reported for a request that ran. Models Requests::KeyClaim and KeyWriteBatch.

  checkmodel bounds depth=100000 memory_mb=950
  checkmodel broken RETRY_AFTER_BROKEN
  checkmodel broken CLAIM_NOT_READ
  checkmodel broken NOT_RUN_IN_OUTAGE
  checkmodel reached REACH_COMPLETED_AT_BOTH
  checkmodel reached REACH_NOT_RUN

  A caller submits one request to two entry VMs, concurrently or one after the other. Either VM may be
  killed at any step. Writes may take effect late or never, and their answers may be lost; the table may be
  unavailable at any time. The connection to the backend server may break before the first byte, or later,
  when the request may have run or not.
*/

mtype = { Absent, Claimed, Completed, Unknown, NotRun };  /* phases of the row; also the answers to callers */
mtype = { Read, Claim, Await, Send, Sent, Record, AwaitRecord, Finished };  /* state of an entry VM */

mtype rowPhase = Absent;
byte rowClaimer = 0;
byte version = 0;

mtype entryState[2] = Read;
byte readVersion[2];     /* version on which the claim is conditional */
byte grantedVersion[2];  /* version of the granted claim; 0 for none */
bool claimInFlight[2];   /* a copy of the claim is in flight */
byte claimVersion[2];
bool recordInFlight[2];  /* a copy of the outcome's record is in flight */
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

/* An answer "not-run" stays true: this entry VM did not run the request. A later submission may run it. */
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

/* The other submission may have run the request or may still run it. */
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

/* A copy of the claim reaches the table; it may arrive again later. */
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

/* There was no answer to the claim. */
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
        :: outcome[e] = NotRun                           /* no byte arrived, or the backend server refused */
        :: execute(e); outcome[e] = Completed
        :: execute(e); outcome[e] = Unknown              /* the connection broke after the run */
        :: outcome[e] = Unknown                          /* the connection broke before the run */
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

/* The caller is answered once the outcome is recorded, or without a record if the table does not answer. */
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
    :: entryState[e] != Finished -> answerAndStop(e, Absent)  /* killed; the caller gets no answer */
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
