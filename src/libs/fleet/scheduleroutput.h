#pragma once

#include "ports/taskkey.h"

#include <fleet.pb.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Fleet {

/*! A start that the owner of a shard has recorded. */
struct AttemptStart {
    std::string worker;
    Ports::TaskKey task;
    std::uint32_t attempt = 0;
    std::string payload;
    std::string checkpoint;
    std::int64_t leaseUntilMs = 0; //!< On the worker's clock.
};

/*! Answer to a submission or cancellation. */
struct JobAnswer {
    FleetSchema::PeerOutcome outcome = FleetSchema::PEER_OK;
    FleetSchema::JobState state = FleetSchema::JOB_QUEUED;
    std::uint32_t retryAfterMs = 0; //!< With PEER_REFUSED.
};

/*! How a job went, for the log. */
struct JobSummary {
    std::string job;
    FleetSchema::JobState state = FleetSchema::JOB_COMPLETED;
    std::int64_t ageMs = 0; //!< From its acceptance to its end.
    std::int64_t objectiveMs = 0; //!< Time within which it was to end.
    std::int64_t firstStartMs = -1; //!< From its acceptance to its first start; -1: none.
    std::uint32_t tasks = 0;
    std::uint32_t attempts = 0;
    std::uint32_t failures = 0;
};

/*! What the scheduler of a shard orders; implementations must not call back into it from inside these calls.
 */
class SchedulerOutput {
public:
    virtual ~SchedulerOutput() = default;

    /*! Starts an attempt. \param start the attempt. */
    virtual void startAttempt(const AttemptStart& start) = 0;

    /*! Stops an attempt. \param worker where. \param task,attempt the attempt. */
    virtual void stopAttempt(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt)
        = 0;

    /*! Limits an attempt's speed. \param worker where. \param task,attempt the attempt. \param percent its
     * share. */
    virtual void throttleAttempt(
        const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt, int percent)
        = 0;

    /*! \param spec a job. \param step one of its steps. \return another shard with room for a task of the
       step; empty if none is known. */
    virtual std::string findShardWithCapacity(const FleetSchema::JobSpec& spec, std::uint32_t step) = 0;

    /*! Hands a task to another shard, whose owner must store it; sent again until it was answered.
        \param shard the shard. \param transfer the task. */
    virtual void delegateTask(const std::string& shard, const FleetSchema::TaskTransfer& transfer) = 0;

    /*! Cancels what another shard runs of a job; sent again until it was answered. \param shard the shard.
        \param job the job. */
    virtual void cancelDelegatedTasks(const std::string& shard, const FleetSchema::JobSpec& job) = 0;

    /*! Tells that an attempt is over. \param worker where. \param task,attempt the attempt. \param how why it
     * is over. */
    virtual void attemptEnded(
        const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt, std::string_view reason)
        = 0;

    /*! Tells that a job has ended. \param summary how it went. */
    virtual void jobEnded(const JobSummary& summary) = 0;

    /*! Answers a submission or cancellation. \param ticket given with it. \param answer the answer. */
    virtual void answer(std::uint64_t ticket, const JobAnswer& answer) = 0;
};

} // namespace Fleet
