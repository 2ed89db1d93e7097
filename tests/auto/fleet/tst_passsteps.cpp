// Bounds on what one pass of an owner examines, in shards of the sizes in use and beyond.

#include "fleetfixtures.h"

#include <fleet/stepbudget.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

constexpr std::size_t shardSizes[] = { 90, 540, 2000 };
constexpr std::size_t tasksPerWorker = 4;
constexpr std::size_t maxTasks = Fleet::maxTasksPerJob;
// Steps of a pass after which it is left.
constexpr std::size_t passLimit = 100'000;

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

    /*! Runs ticks and passes for \p duration. */
    void advance(Utils::Duration duration)
    {
        for (const Utils::TimePoint end = now + duration; now < end;) {
            now += 100ms;
            finishAttempts(0, Ports::AttemptOutcome::Done);
            scheduler.onTick(now, testStartUnixMs);
            noteSteps();
            scheduleAndCommit();
            noteSteps();
        }
    }

    void noteSteps()
    {
        const Fleet::StepBudget& pass = scheduler.latestPass();
        const std::size_t preparation = pass.spent(Fleet::StepKind::Preparation);
        mostSteps = std::max(mostSteps, pass.spent() - preparation);
    }

    /*! \return the steps of a search that examines each worker once, with its tasks. */
    std::size_t searchSteps() const { return workers.size() * (1 + tasksPerWorker); }

    std::size_t mostSteps = 0; //!< Of a pass, without its preparation.
};

} // namespace

TEST_CASE("An owner of a full shard is not starved by the search for tasks to relocate", "[!mayfail]")
{
    for (const std::size_t workerCount : shardSizes) {
        FullShard shard(workerCount);
        FleetSchema::StepSpec waiting = makeStep(20, 8'000, 1000);
        waiting.set_lasting(true);
        shard.submit("waiting", waiting);
        shard.advance(1500ms);
        INFO(workerCount << " workers");
        CHECK(shard.mostSteps <= passLimit + shard.searchSteps());
    }
}
