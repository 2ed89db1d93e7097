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
    Utils::TimePoint deadline = Utils::TimePoint::max(); //!< Latest end; max() if the job names none.
};

/*! An attempt that holds capacity of a worker. */
struct RunningTask {
    Schema::AttemptRef attempt;
    const Schema::JobSpec* spec = nullptr; //!< Job of the task; valid during the call only.
    std::string worker;
    double progress = 0; //!< 0 to 1, as last reported.
    Utils::TimePoint startedAt;
};

/*! A worker of the shard that accepts tasks. */
struct AvailableWorker {
    std::string name;
    std::string region;
    std::string domain;
    std::string rack;
    Schema::TaskSize capacity;
    Schema::TaskSize free; //!< Capacity less everything committed.
};

/*! One task to be started at one worker, as positions in the spans given. */
struct PlacementDecision {
    std::size_t task = 0;
    std::size_t worker = 0;
};

/*! What a task is told so that others get room. */
enum class PreemptionAction {
    Throttle,
    Checkpoint,
    Stop,
};

/*! One task that gives way. */
struct PreemptionDecision {
    Schema::AttemptRef attempt;
    PreemptionAction action = PreemptionAction::Throttle;
    double share = 1; //!< Relief::Throttle: share of the declared processors, 0 to 1.
};

/*!
    Decides which pending tasks start where, and which running ones give way.

    The owner of a shard checks every choice against its commitments; one that does not fit is dropped and
    the task stays pending. Called by one thread at a time.
*/
class Placer {
public:
    virtual ~Placer() = default;

    /*!
        Chooses workers.
        \param tasks pending tasks in the order of their urgency.
        \param workers workers that accept tasks, with their free capacity.
        \param running attempts that hold capacity of these workers.
        \param now the current time.
        \return choices, each task at most once.
    */
    virtual std::vector<PlacementDecision> place(std::span<const PendingTask> tasks,
        std::span<const AvailableWorker> workers, std::span<const RunningTask> running, Utils::TimePoint now)
        = 0;

    /*!
        Chooses tasks that give way.
        \param running attempts that hold capacity.
        \param workers workers that accept tasks.
        \param now the current time.
        \return orders, each attempt at most once; empty if nothing has to give way.
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
        Takes note of a lagging usage sample.
        \param worker the worker that was measured.
        \param sample the sample with its age.
        \param now when it arrived.
    */
    virtual void onUsageSample(
        const std::string& worker, const Schema::UsageSample& sample, Utils::TimePoint now)
    {
        (void)worker;
        (void)sample;
        (void)now;
    }

    /*!
        Takes note of an attempt's end.
        \param task the attempt, with its start time.
        \param state how it ended.
        \param now when the end was heard of.
    */
    virtual void onAttemptEnded(const RunningTask& task, Schema::AttemptState state, Utils::TimePoint now)
    {
        (void)task;
        (void)state;
        (void)now;
    }

    /*!
        Applies a policy.
        \param policy the document in force.
    */
    virtual void setPolicy(const Schema::PolicyDocument& policy) { (void)policy; }
};

} // namespace Batch
