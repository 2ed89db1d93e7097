#pragma once

#include "utils/clock.h"

#include <batch.pb.h>

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace Schema {
class PolicyDocument;
}

namespace Batch {

/*! A task that waits for a worker. */
struct PendingTask {
    Schema::AttemptRef attempt; //!< The attempt that would be started.
    const Schema::JobSpec* spec = nullptr; //!< Job of the task; valid during the call only.
    Utils::TimePoint waitingSince;
    Utils::TimePoint deadline = Utils::TimePoint::max(); //!< Latest end; max() if the job has no deadline.
};

/*! An attempt for which a worker's capacity is reserved. */
struct RunningTask {
    Schema::AttemptRef attempt;
    const Schema::JobSpec* spec = nullptr; //!< Job of the task; valid during the call only.
    std::string worker;
    double progress = 0; //!< 0 to 1, as last reported.
    Utils::TimePoint startedAt;
};

/*! A responsive worker of the shard that accepts tasks. */
struct AvailableWorker {
    std::string name;
    std::string region;
    std::string domain;
    std::string rack;
    Schema::TaskSize capacity;
    Schema::TaskSize free; //!< Capacity minus all reservations.
};

/*! Decision to start a task on a worker; both are indices into the spans passed to Placer::place(). */
struct PlacementDecision {
    std::size_t task = 0;
    std::size_t worker = 0;
};

/*! How a running task frees capacity for others. */
enum class PreemptionAction {
    Throttle,
    Checkpoint,
    Stop,
};

/*! Decision to take capacity from a running task. */
struct PreemptionDecision {
    Schema::AttemptRef attempt;
    PreemptionAction action = PreemptionAction::Throttle;
    double share = 1; //!< PreemptionAction::Throttle: share of the declared processors, 0 to 1.
};

/*!
    Decides which pending tasks start on which workers, and which running tasks are preempted.

    The owner of a shard checks every decision against its capacity reservations. A placement that does not
    fit is dropped and its task stays pending. Calls are never concurrent.
*/
class Placer {
public:
    virtual ~Placer() = default;

    /*!
        Chooses workers for pending tasks.
        \param tasks pending tasks, most urgent first.
        \param running attempts with reserved capacity on these workers.
        \return placements, at most one per task.
    */
    virtual std::vector<PlacementDecision> place(std::span<const PendingTask> tasks,
        std::span<const AvailableWorker> workers, std::span<const RunningTask> running, Utils::TimePoint now)
        = 0;

    /*!
        Chooses running tasks to throttle, checkpoint or stop. The default preempts nothing.
        \param running attempts with reserved capacity on these workers.
        \return decisions, at most one per attempt.
    */
    virtual std::vector<PreemptionDecision> preempt(
        std::span<const RunningTask> running, std::span<const AvailableWorker> workers, Utils::TimePoint now)
    {
        (void)running;
        (void)workers;
        (void)now;
        return {};
    }

    /*!
        Handles a usage sample, which may be delayed.
        \param worker name of the measured worker.
        \param sample the sample; it states its age at \a now.
        \param now when the sample arrived.
    */
    virtual void onUsageSample(
        const std::string& worker, const Schema::UsageSample& sample, Utils::TimePoint now)
    {
        (void)worker;
        (void)sample;
        (void)now;
    }

    /*!
        Handles the end of an attempt.
        \param task the attempt, with its start time.
        \param now when the end was reported.
    */
    virtual void onAttemptEnded(const RunningTask& task, Schema::AttemptState state, Utils::TimePoint now)
    {
        (void)task;
        (void)state;
        (void)now;
    }

    /*! Applies the policy that is now in force. The default ignores it. */
    virtual void setPolicy(const Schema::PolicyDocument& policy) { (void)policy; }
};

} // namespace Batch
