#pragma once

#include "utils/clock.h"

#include <cstdint>
#include <string>

namespace Fleet {

struct Job;
struct Worker;

/*! Where a task stands. */
enum class TaskPhase {
    Waiting, //!< No attempt is open.
    Recorded, //!< An attempt is about to be recorded in the store; nothing was sent.
    Sent, //!< The start was sent.
    Running, //!< The worker reported the attempt or answered its start.
    Unverified, //!< A former owner recorded the attempt; its worker has not been heard yet.
    Stopping, //!< A stop was ordered; the attempt may still run.
    Done,
    Delegated, //!< Another shard runs it.
    AtOrigin, //!< The shard that lent other tasks of the job runs it.
};

/*! A task with its latest attempt. */
struct Task {
    Job* job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    TaskPhase phase = TaskPhase::Waiting;
    std::uint32_t attempt = 0; //!< Number of the latest attempt; 0: none.
    std::uint32_t failures = 0;
    std::string checkpoint; //!< Latest one known; may be empty.
    Worker* worker = nullptr; //!< Where the open attempt is; null without one.
    std::int64_t workerBornMs = 0; //!< Incarnation of the worker that the attempt is for.
    std::string hostShard; //!< Shard that runs a lent task.
    std::uint32_t transferNumber = 0; //!< Number of its latest move between shards.
    bool isDelegationStored = false; //!< The store holds that it is lent under this number.
    bool isDelegationAcknowledged = false; //!< That shard has stored it.
    Utils::TimePoint delegationSentAt {};
    std::string avoidedWorker; //!< It failed there or was moved from there; taken if no other has room.

    Utils::TimePoint notBefore {}; //!< A retry waits until then.
    Utils::TimePoint
        waitingSince {}; //!< Since when no room was found; the epoch of the clock if it was not sought.
    Utils::TimePoint sentAt {};
    Utils::TimePoint reportableSince {}; //!< Polls sent from then on must list the attempt.
    Utils::TimePoint startedAt {};
    Utils::TimePoint progressAt {}; //!< When the percentage last rose.
    Utils::TimePoint stopSentAt {};
    Utils::TimePoint stopAnsweredAt {};
    bool isStopAnswered = false;
    int progressPercent = 0;
    int speedPercent = 100; //!< Share of its full speed that was ordered.
    Utils::TimePoint throttledSince {}; //!< Since when the pace is below 100.
    bool wasThrottled = false; //!< The attempt's run time is not its own.
    std::int64_t reportedLoad = 0; //!< As in Ports::RunningAttempt.
    double ownUtilization = 0.5; //!< Of a serving task, without what work beside it adds.
    Utils::TimePoint overTargetSince {}; //!< Since when the tail latency is over its target; 0: it is not.

    /*! \return whether an attempt is open that may run or come to run. */
    bool isOpen() const
    {
        return phase != TaskPhase::Waiting && phase != TaskPhase::Done && phase != TaskPhase::Delegated
            && phase != TaskPhase::AtOrigin;
    }
};

} // namespace Fleet
