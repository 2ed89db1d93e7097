#pragma once

#include "crashcount.h"
#include "gangshare.h"
#include "waitreport.h"
#include "workerloss.h"
#include "workerrestart.h"

#include "placement/resources.h"
#include "ports/taskkey.h"
#include "utils/clock.h"

#include <fleet.pb.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Fleet {

/*! An attempt to start, recorded by the owner of the shard. */
struct AttemptStart {
    std::string worker;
    Ports::TaskKey task;
    std::uint32_t attempt = 0;
    std::string payload;
    std::string checkpoint;
    std::int64_t leaseUntilMs = 0; //!< In the worker's clock.
    std::int64_t workerBornMs = 0; //!< Incarnation of the worker whose clock this is.
    Utils::Duration checkLimit {}; //!< As in Ports::StartCommand.
    std::int64_t answerAgeMs = -1; //!< Time since the worker's latest answer to any call; -1 if none came.
};

/*! Answer to a submission, cancellation or delegation. */
struct JobAnswer {
    FleetSchema::PeerOutcome outcome = FleetSchema::PEER_OK;
    FleetSchema::JobState state = FleetSchema::JOB_QUEUED;
    std::uint32_t retryAfterMs = 0; //!< Set only if the outcome is PEER_REFUSED.
};

/*! Change of the capacity that the platform lists for a worker. */
struct CapacityChange {
    std::string worker;
    Placement::Resources former;
    Placement::Resources current;
    Placement::Resources committed; //!< Resources of the worker's open attempts; may exceed the capacity.
};

/*! Summary of an ended job for the log. */
struct JobSummary {
    std::string job;
    FleetSchema::JobState state = FleetSchema::JOB_COMPLETED;
    std::int64_t ageMs = 0; //!< From acceptance to end.
    std::int64_t objectiveMs = 0; //!< Time within which the job was to complete.
    std::int64_t firstStartMs = -1; //!< From acceptance to first start; -1 if nothing was started.
    std::uint32_t taskCount = 0;
    std::uint32_t attemptCount = 0;
    std::uint32_t failureCount = 0;
    std::string_view reason; //!< Why the job has failed; empty if it has not.
};

/*!
    Receives the commands, answers and events of a shard's scheduler.

    Implementations must not call the scheduler from inside these functions.
*/
class SchedulerOutput {
public:
    virtual ~SchedulerOutput() = default;

    virtual void startAttempt(const AttemptStart& start) = 0;

    /*! Stops an attempt and keeps it from starting later. */
    virtual void stopAttempt(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt)
        = 0;

    /*! Limits an attempt to \p percent of its full speed. */
    virtual void throttleAttempt(
        const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt, int percent)
        = 0;

    /*!
        \param waited how long the task has waited in this shard.
        \param returnedBy shards that have returned the task, the latest one last.
        \return another shard with free capacity for a task of \p step; empty if none is known.
    */
    virtual std::string findShardWithCapacity(const FleetSchema::JobSpec& spec, std::uint32_t step,
        Utils::Duration waited, std::span<const std::string> returnedBy)
        = 0;

    /*! \return whether another shard has a worker with room for a long-running task of \p step now. */
    virtual bool hasShardWithRoom(const FleetSchema::JobSpec& spec, std::uint32_t step) = 0;

    /*!
        Divides a gang that no single shard can run.

        \param waited how long the gang has waited in this shard.
        \param returnedBy shards that have returned the gang.
        \return the shares of at least two shards, among which may be this one; empty if the shards together
            have no free capacity, or one shard that has not returned the gang has it.
    */
    virtual std::vector<GangShare> divideGang(const FleetSchema::JobSpec& spec, std::uint32_t step,
        Utils::Duration waited, std::span<const std::string> returnedBy)
        = 0;

    /*!
        Tells the origin shard that this shard holds capacity for a part of a gang. Repeated while it does;
       the answer is passed to onPartReadyAnswered().
    */
    virtual void sendPartReady(const std::string& originShard, const FleetSchema::GangPart& part) = 0;

    /*!
        Calls a host shard to start its part of a gang. The scheduler repeats the call until
        onPartStartAnswered() is called.
    */
    virtual void startPart(const std::string& hostShard, const FleetSchema::GangPart& part) = 0;

    /*!
        Delegates a task to another shard, whose owner has to store it. The scheduler repeats the
        call until onDelegationStored() is called.
    */
    virtual void delegateTask(const std::string& shard, const FleetSchema::TaskTransfer& transfer) = 0;

    /*!
        Cancels the tasks of a job that were delegated to another shard. The scheduler repeats the
        call until onDelegatedTasksCancelled() is called.
    */
    virtual void cancelDelegatedTasks(const std::string& shard, const FleetSchema::JobSpec& job) = 0;

    /*!
        Sends the result of a delegated task to the shard that delegated it, whose owner has to store it.
        The scheduler repeats the call until onTaskResultStored() is called.
    */
    virtual void sendTaskResult(const std::string& originShard, const FleetSchema::TaskResult& result) = 0;

    /*!
        Asks the owner of the shard that accepted a job for the job's state. The scheduler repeats the call
        until onOriginState() is called.
    */
    virtual void queryOrigin(const std::string& originShard, const std::string& job) = 0;

    /*!
        Reads the job's state, to be passed to onOriginState(), from the store, as the shard may have no
       owner. The scheduler repeats the call while tasks of the job wait for it.
    */
    virtual void readOrigin(const std::string& originShard, const std::string& job) = 0;

    /*! Reports that an attempt has ended, or is known not to run, for \p reason. */
    virtual void attemptEnded(
        const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt, std::string_view reason)
        = 0;

    /*! Reports that attempts are about to be ended without being listed as ended by their worker. */
    virtual void workerLost(const WorkerLoss& loss) = 0;

    /*! Reports that a worker has started again under its identifier. */
    virtual void workerRestarted(const WorkerRestart& restart) = 0;

    /*! Reports that a listed worker has got no tasks for a while. \param cause as Worker::unusableCause(). */
    virtual void workerUnusable(const std::string& worker, std::string_view cause, Utils::Duration time) = 0;

    /*! Reports that the capacity of a worker has changed; once a list of workers. */
    virtual void capacityChanged(const CapacityChange& change) = 0;

    /*!
        Reports that an ended attempt has ended with its worker, which crashed before the attempt had run long
        enough to show that it is not the cause. Follows attemptEnded(), once the crash is proved.

        \param crashes the task's latest starts in a row that ended like this.
    */
    virtual void workerCrashed(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt,
        const CrashCount& crashes)
        = 0;

    /*!
        Reports that a worker is quarantined because tasks fail there, or is not any more.

        \param time time for which it gets no task; 0 if a task has shown that it works again, or it has
       restarted.
    */
    virtual void quarantineChanged(const std::string& worker, Utils::Duration time) = 0;

    /*! Reports that a task does not run although its turn has come; repeated while it waits. */
    virtual void taskWaiting(const WaitReport& report) = 0;

    virtual void jobEnded(const JobSummary& summary) = 0;

    /*! Answers the call that was made with \p ticket. */
    virtual void answer(std::uint64_t ticket, const JobAnswer& answer) = 0;
};

} // namespace Fleet
