#pragma once

#include "fleetfixtures.h"

#include <fleet/stepbudget.h>

#include <catch2/catch.hpp>

#include <algorithm>

namespace Testing {

inline constexpr std::size_t shardSizes[] = { 90, 540, 2000 };
inline constexpr std::size_t tasksPerWorker = 4;
inline constexpr std::size_t maxTasks = Fleet::maxTasksPerJob;
// Steps of a pass after which it is left.
inline constexpr std::size_t passLimit = 100'000;

/*! A shard whose workers are full of long-running tasks, too full for any of them to move. */
struct FullShard : SchedulerFixture {
    explicit FullShard(std::size_t workerCount)
        : SchedulerFixture(workerCount)
    {
        FleetSchema::StepSpec step = makeStep(0, 7'000, 1000);
        step.set_lasting(true);
        for (std::size_t job = 0; job < tasksPerWorker; ++job) {
            for (std::size_t first = 0; first < workerCount; first += maxTasks) {
                step.set_count(
                    static_cast<std::uint32_t>(std::min<std::size_t>(workerCount - first, maxTasks)));
                submit("full-" + std::to_string(job) + "-" + std::to_string(first), step);
            }
        }
        while (scheduleAndCommit())
            confirmStarts();
        REQUIRE(running.size() == tasksPerWorker * workerCount);
    }

    void submit(const std::string& job, const FleetSchema::StepSpec& step)
    {
        scheduler.submit(makeJob(job, { step }), 1, now, testStartUnixMs);
    }

    /*! Runs a pass. */
    void runPass()
    {
        scheduleAndCommit();
        noteSteps();
        confirmStarts();
    }

    /*! Submits jobs of one task each that is larger than any free capacity, each smaller than the one before.
     */
    void submitShrinkingTasks(std::size_t count, std::int32_t priority = 0)
    {
        for (std::size_t number = 0; number < count; ++number) {
            now += std::chrono::milliseconds(1);
            FleetSchema::JobSpec job = makeJob(
                "waiting-" + std::to_string(number), { makeStep(1, 9'000 - std::int64_t(number), 1000) });
            job.set_priority(priority);
            scheduler.submit(job, 1, now, testStartUnixMs);
        }
    }

    bool isRunning(const std::string& job) const
    {
        return std::any_of(running.begin(), running.end(),
            [&](const Fleet::AttemptStart& start) { return start.task.job == job; });
    }

    /*! Runs ticks and passes for \p duration. */
    void advance(Utils::Duration duration)
    {
        for (const Utils::TimePoint end = now + duration; now < end;) {
            now += std::chrono::milliseconds(100);
            finishAttempts(0, Ports::AttemptOutcome::Done);
            scheduler.onTick(now, testStartUnixMs);
            noteTickSteps();
            runPass();
        }
    }

    void noteSteps()
    {
        const Fleet::StepBudget& pass = scheduler.latestPass();
        const std::size_t preparation = pass.spent(Fleet::StepKind::Preparation);
        mostSteps = std::max(mostSteps, pass.spent() - preparation);
    }

    void noteTickSteps() { mostTickSteps = std::max(mostTickSteps, scheduler.latestPass().spent()); }

    /*! \return the bound on the steps of a tick: some for each worker and task, and limited searches. */
    std::size_t tickBound(std::size_t taskCount) const
    {
        return passLimit + 4 * (workers.size() + taskCount) + searchSteps();
    }

    /*! \return the steps of a search that examines each worker once, with its tasks. */
    std::size_t searchSteps() const { return workers.size() * (1 + tasksPerWorker); }

    std::size_t mostSteps = 0; //!< Of a pass, without its preparation.
    std::size_t mostTickSteps = 0;
};

} // namespace Testing
