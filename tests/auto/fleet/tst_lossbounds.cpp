// How long long-running tasks are without a run after their workers have lost power silently, at the bound
// that the users' rule for lost tasks leaves.

#include "powerfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <utility>

using namespace std::chrono_literals;
using namespace Testing;
using std::chrono::milliseconds;

namespace {

// 4.5 s until the worker's entry expires, 4 s that must be calm, and 3 s without a run.
constexpr milliseconds waitBound = 11500ms;

/*! A shard without workers at first that lends its long-running tasks to another one. */
struct LendingFixture {
    explicit LendingFixture(std::uint32_t taskCount)
    {
        origin.output.shardWithCapacity = "host";
        origin.submit("job", makeLatencyCriticalStep(taskCount, 2000, "api"));
        timeToRunAt(host, taskCount, 10s);
        REQUIRE(host.countLongRunning() == taskCount);
    }

    std::int64_t timeToRunAt(const PowerFixture& shard, std::size_t count, milliseconds limit = 60s)
    {
        const Utils::TimePoint start = origin.now;
        while (shard.countLongRunning() < count && origin.now - start < limit) {
            origin.advance(tickInterval);
            host.advance(tickInterval);
            deliver();
        }
        return std::chrono::duration_cast<milliseconds>(origin.now - start).count();
    }

    void deliver()
    {
        for (; delegationCount < origin.output.delegations.size(); ++delegationCount) {
            const FleetSchema::TaskTransfer transfer = origin.output.delegations[delegationCount];
            host.scheduler.acceptDelegatedTask(transfer, ++lastTicket, host.now);
            host.scheduleAndCommit();
            origin.scheduler.onDelegationStored(transfer, "host");
        }
        for (; resultCount < host.output.results.size(); ++resultCount) {
            const FleetSchema::TaskResult result = host.output.results[resultCount].second;
            origin.scheduler.acceptTaskResult(result, ++lastTicket, origin.now, testStartUnixMs);
            origin.scheduleAndCommit();
            host.scheduler.onTaskResultStored(result, testStartUnixMs);
        }
        for (; returnCount < host.output.delegations.size(); ++returnCount) {
            const FleetSchema::TaskTransfer transfer = host.output.delegations[returnCount];
            origin.scheduler.acceptDelegatedTask(transfer, ++lastTicket, origin.now);
            origin.scheduleAndCommit();
            host.scheduler.onDelegationStored(transfer, "shard");
        }
    }

    PowerFixture origin { 0, Utils::Duration::max(), "shard" };
    PowerFixture host { 8, Utils::Duration::max(), "host" };
    std::size_t delegationCount = 0;
    std::size_t resultCount = 0;
    std::size_t returnCount = 0; //!< Of tasks that the host passes on to their own shard.
    std::uint64_t lastTicket = 10;
};

} // namespace

// Guards against a time that grows with the number of lost tasks although there is room for all.
TEST_CASE("Many long-running tasks that lose their workers in one moment run again within the bound")
{
    const std::size_t lostCount = GENERATE(8U, 80U, 300U);
    constexpr std::size_t jobCount = 4;
    const std::size_t lostWorkers = (lostCount + 15) / 16;
    PowerFixture fixture(lostWorkers);
    for (std::size_t job = 0; job < jobCount; ++job)
        fixture.submit("job" + std::to_string(job),
            makeLatencyCriticalStep(static_cast<std::uint32_t>(lostCount / jobCount), 2000, "api"));
    fixture.timeToRun(lostCount, 10s);
    REQUIRE(fixture.countLongRunning() == lostCount);
    const std::set<std::string> lost(fixture.workers.begin(), fixture.workers.end());
    for (std::size_t number = 0; number < 2 * lostWorkers; ++number)
        fixture.workers.push_back("n" + std::to_string(number));
    fixture.listWorkers();
    fixture.advance(1s);
    fixture.lose(lost);
    REQUIRE(fixture.countLongRunning() < lostCount);
    CHECK(fixture.timeToRun(lostCount) <= waitBound.count());
}

// Guards against a wait for workers that only the spread limit excludes.
TEST_CASE("A long-running task that must not share a worker runs again within the bound")
{
    PowerFixture fixture(8);
    FleetSchema::StepSpec step = makeLatencyCriticalStep(6, 2000, "api");
    step.set_max_per_worker(1);
    fixture.submit("job", step);
    fixture.advance(2s);
    REQUIRE(fixture.countLongRunning() == 6);
    fixture.lose(fixture.busiestWorkers(2));
    REQUIRE(fixture.countLongRunning() == 4);
    CHECK(fixture.timeToRun(6) <= waitBound.count());
}

// Guards against a gang that waits for the other members' ends and then for a lease once more.
TEST_CASE("A long-running gang whose members end with one of them runs again within the bound")
{
    PowerFixture fixture(8);
    FleetSchema::StepSpec step = makeStep(6, 12'000, 0);
    step.set_lasting(true);
    step.set_gang(true);
    fixture.submit("job", step);
    fixture.advance(2s);
    REQUIRE(fixture.countLongRunning() == 6);
    fixture.lose(fixture.busiestWorkers(1));
    REQUIRE(fixture.countLongRunning() < 6);
    fixture.finishAll(Ports::AttemptOutcome::GangBroken);
    CHECK(fixture.timeToRun(6) <= waitBound.count());
}

// Guards against waits that a takeover begins anew for the workers that were lost before it.
TEST_CASE("Long-running tasks run again within the bound after the loss of their shard's owner")
{
    const auto ownerLossAfter = GENERATE(0ms, 1000ms, 2000ms, 4000ms, 6400ms);
    PowerFixture former(8);
    former.submit("job", makeLatencyCriticalStep(16, 2000, "api"));
    former.advance(3s);
    REQUIRE(former.countLongRunning() == 16);
    former.lose(former.busiestWorkers(2));
    former.advance(ownerLossAfter);
    REQUIRE(former.countLongRunning() < 16);
    PowerFixture successor(former, former.now);
    CAPTURE(ownerLossAfter.count());
    CHECK(successor.timeToRun(16) + takeoverTime.count() <= waitBound.count());
}

// Guards against a wait for a lost owner's starts at workers that answer.
TEST_CASE("Long-running tasks whose starts a lost owner has recorded run within the bound")
{
    const bool isSent = GENERATE(false, true);
    PowerFixture former(4);
    former.submit("job", makeLatencyCriticalStep(8, 2000, "api"));
    former.scheduleAndCommit();
    REQUIRE(former.output.starts.size() == 8);
    if (isSent)
        former.running = former.output.starts;
    PowerFixture successor(former, former.now);
    CAPTURE(isSent);
    CHECK(successor.timeToRun(8) + takeoverTime.count() <= waitBound.count());
    successor.advance(1s);
    CHECK(successor.countLongRunning() == 8);
}

// Guards against a wait for a lost owner's next starts of lost tasks at workers that answer.
TEST_CASE("Long-running tasks run within the bound if their owner is lost after their next starts were sent")
{
    PowerFixture former(8);
    former.submit("job", makeLatencyCriticalStep(16, 2000, "api"));
    former.advance(3s);
    former.lose(former.busiestWorkers(2));
    former.failsChecks = true;
    while (former.output.starts.size() == 16)
        former.advance(tickInterval);
    REQUIRE(former.countLongRunning() < 16);
    PowerFixture successor(former, former.now);
    CHECK(successor.timeToRun(16) + takeoverTime.count() <= waitBound.count());
}

// Guards against attempts without a limit, and a wait that lasts beyond the last refused check.
TEST_CASE("A long-running task whose checks fail is tried at a bounded rate and runs once they are answered")
{
    PowerFixture fixture(8);
    fixture.failsChecks = true;
    fixture.submit("job", makeLatencyCriticalStep(1, 2000, "api"));
    fixture.advance(10s);
    CHECK(fixture.countLongRunning() == 0);
    // A check takes 0.35 s, and the next start is at least 0.1 s later.
    CHECK(fixture.output.starts.size() <= 10'000 / 450 + 1);
    fixture.failsChecks = false;
    CHECK(fixture.timeToRun(1) <= 3000);
}

// Guards against a wait at the host for an origin that need not be asked.
TEST_CASE("A long-running task of another shard runs again within the bound")
{
    LendingFixture fixture(8);
    fixture.host.lose(fixture.host.busiestWorkers(2));
    REQUIRE(fixture.host.countLongRunning() < 8);
    CHECK(fixture.timeToRunAt(fixture.host, 8) <= waitBound.count());
}

// Guards against tasks that stay with a host shard without workers while their own shard has room.
TEST_CASE("A long-running task runs in its own shard within the bound if its host loses all workers")
{
    LendingFixture fixture(8);
    fixture.origin.workers = { "o0", "o1", "o2", "o3" };
    fixture.origin.listWorkers();
    fixture.origin.output.shardWithCapacity.clear();
    fixture.host.output.shardWithCapacity = "shard";
    fixture.host.lose({ fixture.host.workers.begin(), fixture.host.workers.end() });
    REQUIRE(fixture.host.countLongRunning() == 0);
    CHECK(fixture.timeToRunAt(fixture.origin, 8) <= waitBound.count());
}

// Guards against tasks set apart that wait for one another.
TEST_CASE("Long-running tasks that two crashes have set apart run again within the bound after a loss")
{
    const std::size_t jobCount = GENERATE(1U, 4U);
    PowerFixture fixture(16);
    for (std::size_t job = 0; job < jobCount; ++job)
        fixture.submit("job" + std::to_string(job), makeLatencyCriticalStep(1, 2000, "api"));
    for (int crash = 0; crash < 2; ++crash) {
        fixture.scheduleAndCommit();
        fixture.confirmStarts();
        for (int tick = 0; tick < 30 && fixture.running.size() < jobCount; ++tick) {
            fixture.now += tickInterval;
            fixture.scheduler.onTick(fixture.now, testStartUnixMs);
            fixture.scheduleAndCommit();
            fixture.confirmStarts();
        }
        REQUIRE(fixture.running.size() == jobCount);
        const std::vector<Fleet::AttemptStart> crashed = std::exchange(fixture.running, {});
        for (const Fleet::AttemptStart& run : crashed) {
            std::erase(fixture.workers, run.worker);
            fixture.scheduler.onWorkerReplaced(run.worker, fixture.now, testStartUnixMs);
        }
        fixture.listWorkers();
    }
    REQUIRE(fixture.output.crashes.size() == 2 * jobCount);
    CHECK(fixture.timeToRun(jobCount) <= waitBound.count());
    fixture.lose(fixture.busiestWorkers(jobCount));
    REQUIRE(fixture.countLongRunning() == 0);
    CHECK(fixture.timeToRun(jobCount) <= waitBound.count());
}

// Guards against starts on workers lost at the end of the first leases, which a failed poll has renewed.
TEST_CASE("Long-running tasks run again within the bound after the second of two losses")
{
    const auto secondLossAfter = GENERATE(6200ms, 6400ms, 6500ms, 6600ms, 6700ms, 6900ms);
    PowerFixture fixture(16);
    fixture.submit("job", makeLatencyCriticalStep(80, 2000, "api"));
    fixture.advance(3s);
    REQUIRE(fixture.countLongRunning() == 80);
    fixture.lose(fixture.busiestWorkers(2));
    fixture.advance(secondLossAfter);
    // Half of the others, so that some of the next starts go there.
    fixture.lose(fixture.idlestWorkers(7));
    REQUIRE(fixture.countLongRunning() < 80);
    CAPTURE(secondLossAfter.count());
    CHECK(fixture.timeToRun(80) <= waitBound.count());
}

// Guards against a time that grows with the number of lost tasks while short tasks hold the room.
TEST_CASE("Long-running tasks run again within the bound in a shard that is full of short tasks")
{
    constexpr std::size_t jobCount = 10;
    const std::size_t lostCount = GENERATE(10U, 60U);
    // The memory of a worker is enough for two of the tasks, or for one beside another long-running one and
    // four short ones.
    const std::int64_t milliProcessors = GENERATE(8000, 12'000, 16'000);
    PowerFixture fixture((lostCount + 1) / 2);
    const std::set<std::string> lost(fixture.workers.begin(), fixture.workers.end());
    FleetSchema::StepSpec step
        = makeLatencyCriticalStep(static_cast<std::uint32_t>(lostCount / jobCount), milliProcessors, "api");
    step.set_memory_mb(63'600);
    for (std::size_t job = 0; job < jobCount; ++job)
        fixture.submit("job" + std::to_string(job), step);
    fixture.advance(3s);
    REQUIRE(fixture.countLongRunning() == lostCount);
    const std::size_t remainingCount = lostCount + lostCount / 2;
    for (std::size_t number = 0; number < remainingCount; ++number)
        fixture.workers.push_back("n" + std::to_string(number));
    fixture.listWorkers();
    FleetSchema::StepSpec remaining
        = makeLatencyCriticalStep(static_cast<std::uint32_t>(remainingCount), 16'000, "api");
    remaining.set_max_per_worker(1);
    fixture.submit("remaining", remaining);
    fixture.advance(3s);
    const std::size_t totalCount = lostCount + remainingCount;
    REQUIRE(fixture.countLongRunning() == totalCount);
    fixture.keepsWaitingShortTasks = true;
    fixture.advance(6s);
    fixture.lose(lost);
    const std::size_t slotCount = 4 * remainingCount;
    CAPTURE(lostCount, milliProcessors, slotCount, fixture.running.size(), fixture.countLongRunning());
    CHECK(fixture.timeToRun(totalCount) <= waitBound.count());
}

// Guards against attempts of many tasks that grow with the room or with one another's failures.
TEST_CASE("Many long-running tasks whose checks fail are tried at a bounded rate beside short tasks")
{
    const std::size_t taskCount = GENERATE(8U, 80U);
    PowerFixture fixture(8);
    fixture.failsChecks = true;
    fixture.keepsWaitingShortTasks = true;
    fixture.advance(5s);
    fixture.submit("job", makeLatencyCriticalStep(static_cast<std::uint32_t>(taskCount), 2000, "api"));
    fixture.advance(10s);
    const auto startCount = std::count_if(fixture.output.starts.begin(), fixture.output.starts.end(),
        [](const Fleet::AttemptStart& start) { return start.task.job == "job"; });
    CHECK(fixture.countLongRunning() == 0);
    CHECK(static_cast<std::size_t>(startCount) <= taskCount * (10'000 / 450 + 1));
}
