#pragma once

#include "gangpartstate.h"
#include "presumedcrash.h"

#include "utils/clock.h"

#include <fleet.pb.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Fleet {

struct Job;
struct Worker;

/*! State of a task. */
enum class TaskPhase {
    Waiting, //!< No attempt is open.
    Recorded, //!< An attempt is about to be recorded in the store; nothing has been sent.
    Sent, //!< The start command has been sent.
    Running, //!< The worker has reported the attempt or answered its start.
    Unverified, //!< A former owner recorded the attempt; its worker has not reported yet.
    Stopping, //!< A stop command has been sent; the attempt may still run.
    Done,
    Delegated, //!< Another shard runs the task.
    AtOrigin, //!< The origin shard, which delegated other tasks of the job, runs the task.
    Resolved, //!< The task is over in this host shard; the origin shard has not stored the result yet.
    Held, //!< An attempt of a gang's part is recorded and has capacity; it is sent once all parts are ready.
};

/*! A task with its latest attempt. */
struct Task {
    Job* job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    TaskPhase phase = TaskPhase::Waiting;
    std::uint32_t attempt = 0; //!< Number of the latest attempt; 0 if there is none.
    std::uint32_t failures = 0;
    std::uint32_t crashes = 0; //!< Latest starts in a row after which the worker crashed, proved or not.
    std::vector<PresumedCrash> presumedCrashes; //!< Those of them that are not proved.
    //! Further such starts, which were not answered: the worker may have crashed before they reached it. They
    //! lead to the isolation of the task, but not to the end of its job.
    std::uint32_t unansweredCrashes = 0;
    std::string checkpoint; //!< Latest known checkpoint; may be empty.
    Worker* worker = nullptr; //!< Worker of the open attempt; null if there is none.
    std::int64_t workerBornMs = 0; //!< Incarnation of the worker that the attempt was assigned to.
    std::string hostShard; //!< Shard that runs a delegated task.
    std::uint32_t transferNumber = 0; //!< Number of the task's latest move between shards.
    bool isDelegationStored = false; //!< The delegation under this transfer number is stored.
    //! The host shard has stored the task or, after the end of the job, its cancellation.
    bool isDelegationAcknowledged = false;
    Utils::TimePoint delegationSentAt {};
    std::uint32_t returnCount = 0; //!< Number of times that a host shard has returned the task.
    std::vector<std::string> returnedBy; //!< Shards that have returned the task, the latest one last.
    FleetSchema::TaskResultKind result = FleetSchema::TASK_RETURNED; //!< Valid in the phase Resolved.
    bool isResultStored = false; //!< The result under this transfer number is stored.
    Utils::TimePoint resultSentAt {};
    GangPartState part;
    //! Worker where the task failed or from which it was moved; used only if no other fits.
    std::string avoidedWorker;
    std::string crashedAddress; //!< Address of the worker that crashed last; empty if there is none.
    //! Worker's clock at the answer to the start or the first report of the attempt; 0 if unknown.
    std::int64_t startClockMs = 0;
    //! The worker has confirmed the start, or, after a takeover, may have done so.
    bool hasStarted = false;
    bool isConfirmed = false; //!< The incarnation workerBornMs has shown that it runs the attempt.
    //! Until when another incarnation may carry out the start, unless the attempt is confirmed.
    Utils::TimePoint startableUntil {};
    bool isProven = false; //!< The attempt has run long enough to show that it does not crash the worker.

    //! Since when the task is not known to run although its turn has come; the clock's epoch if it runs.
    Utils::TimePoint idleSince {};
    Utils::TimePoint waitReportedAt {}; //!< Time of the latest report on the wait.
    Utils::TimePoint notBefore {}; //!< Earliest time of a retry.
    //! Time of the first unsuccessful search for a worker; the clock's epoch if there was none.
    Utils::TimePoint waitingSince {};
    Utils::TimePoint sentAt {};
    Utils::TimePoint reportableSince {}; //!< Reports to polls sent from this time on must list the attempt.
    Utils::TimePoint startedAt {};
    //! Start of the time without progress: last rise of the progress, start or change of speed.
    Utils::TimePoint progressAt {};
    Utils::TimePoint stopSentAt {};
    Utils::TimePoint stopAnsweredAt {};
    bool isStopAnswered = false;
    int progressPercent = 0;
    int speedPercent = 100; //!< Commanded share of the full speed.
    Utils::TimePoint throttledSince {}; //!< Since when speedPercent is below 100.
    bool wasThrottled = false; //!< The run time of the attempt is not representative.
    std::int64_t reportedLoad = 0; //!< As in Ports::RunningAttempt.
    //! Utilization of a latency-critical task without colocated tasks; if the load is shared, to be expected
    //! while a task that starts now runs.
    double ownUtilization = 0.5;
    bool sharesLoad = false; //!< The task's load is taken from the tasks of its step, see sharedload.h.
    double ownUtilizationSoon = 0.5; //!< Expected when a changed speed shows; only if the load is shared.
    double totalUtilization = 0; //!< As last reported; the same.
    double addedUtilization = 0; //!< What the colocated tasks are expected to add to it; the same.
    Utils::TimePoint measuredAt {}; //!< When it was reported.
    //! Since when the tail latency is over the target, or not clearly below it again; the clock's epoch if it
    //! is not.
    Utils::TimePoint overTargetSince {};

    /*! \return the latest starts in a row after which the worker is known to have crashed. */
    std::uint32_t provedCrashes() const
    {
        return crashes - static_cast<std::uint32_t>(presumedCrashes.size());
    }

    /*! \return the latest starts in a row that may have crashed their worker. */
    std::uint32_t suspectedCrashes() const { return crashes + unansweredCrashes; }

    /*! \return whether there is an attempt that runs or may still start to run. */
    bool isOpen() const
    {
        return phase != TaskPhase::Waiting && phase != TaskPhase::Done && phase != TaskPhase::Delegated
            && phase != TaskPhase::AtOrigin && phase != TaskPhase::Resolved;
    }
};

} // namespace Fleet
