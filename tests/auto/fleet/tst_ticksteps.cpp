// Bounds on what ticks, reports and transactions of an owner examine, in shards of the sizes in use and
// beyond.

#include "fleetfixtures.h"

#include <fleet/stepbudget.h>

#include <catch2/catch.hpp>

#include <map>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

constexpr std::size_t shardSizes[] = { 90, 540, 2000 };
constexpr std::size_t maxTasks = Fleet::maxTasksPerJob;

/*! A host shard to which all members of a gang are delegated as one part. */
struct HostShard : SchedulerFixture {
    HostShard(std::size_t workerCount, std::int64_t milliProcessors)
        : SchedulerFixture(workerCount)
        , memberCount(std::min(workerCount, maxTasks))
    {
        FleetSchema::StepSpec gang = makeStep(static_cast<std::uint32_t>(memberCount), milliProcessors, 1000);
        gang.set_gang(true);
        const FleetSchema::JobSpec job = makeJob("gang", { gang });
        for (std::size_t index = 0; index < memberCount; ++index) {
            FleetSchema::TaskTransfer transfer;
            *transfer.mutable_job() = job;
            transfer.set_index(static_cast<std::uint32_t>(index));
            transfer.set_transfer(1);
            transfer.set_origin_shard("origin");
            transfer.set_part_size(static_cast<std::uint32_t>(memberCount));
            scheduler.acceptDelegatedTask(transfer, index, now);
        }
        while (scheduleAndCommit())
            confirmStarts();
    }

    /*! \return the steps that the next tick spends on the gang. */
    std::size_t tickSteps()
    {
        now += 100ms;
        scheduler.onTick(now, testStartUnixMs);
        return scheduler.latestPass().spent(Fleet::StepKind::Transfers);
    }

    std::size_t memberCount = 0;
};

} // namespace

TEST_CASE("A tick examines each member of a gang's part that waits a few times")
{
    for (const std::size_t workerCount : shardSizes) {
        HostShard shard(workerCount, 40'000);
        INFO(workerCount << " workers");
        CHECK(shard.tickSteps() <= 4 * shard.memberCount);
        // It is returned once it has waited for too long.
        for (int tick = 0; tick < 20; ++tick) {
            CHECK(shard.tickSteps() <= 4 * shard.memberCount);
            shard.scheduleAndCommit();
        }
        CHECK(shard.output.results.size() == shard.memberCount);
    }
}

TEST_CASE("A tick examines each member of a gang's part that is held a few times")
{
    for (const std::size_t workerCount : shardSizes) {
        HostShard shard(workerCount, 20'000);
        INFO(workerCount << " workers");
        REQUIRE(shard.output.readyParts.size() == 1);
        for (int tick = 0; tick < 20; ++tick)
            CHECK(shard.tickSteps() <= 4 * shard.memberCount);
        CHECK(shard.output.readyParts.size() > 2);
    }
}

namespace {

/*! A shard that keeps jobs that have ended, ten tasks for each worker, beside one task that waits. */
struct ShardWithEndedJobs : SchedulerFixture {
    explicit ShardWithEndedJobs(std::size_t workerCount)
        : SchedulerFixture(workerCount)
    {
        for (std::size_t number = 0; number < workerCount; ++number)
            scheduler.submit(makeJob("ended-" + std::to_string(number), { makeStep(10, 3'000, 1000) }), 1,
                now, testStartUnixMs);
        while (scheduleAndCommit())
            confirmStarts();
        REQUIRE(running.size() == 10 * workerCount);
        finishAll(Ports::AttemptOutcome::Done);
        scheduler.submit(makeJob("waiting", { makeStep(1, 40'000, 1000) }), 1, now, testStartUnixMs);
        while (scheduleAndCommit())
            confirmStarts();
    }
};

} // namespace

TEST_CASE("A tick does not search the tasks of jobs that have ended for transfers")
{
    for (const std::size_t workerCount : shardSizes) {
        ShardWithEndedJobs shard(workerCount);
        INFO(workerCount << " workers");
        for (int tick = 0; tick < 30; ++tick) {
            shard.now += 100ms;
            shard.scheduler.onTick(shard.now, testStartUnixMs);
            // One for each job, and some for the task that waits.
            CHECK(shard.scheduler.latestPass().spent(Fleet::StepKind::Transfers) <= workerCount + 10);
        }
        CHECK_FALSE(shard.output.shardSearches.empty());
    }
}

TEST_CASE(
    "A tick examines the delegated tasks of a cancelled job only until the host shard has stored the end")
{
    for (const std::size_t workerCount : shardSizes) {
        SchedulerFixture shard(1);
        shard.output.shardWithCapacity = "host";
        const std::size_t count = std::min(workerCount, maxTasks);
        FleetSchema::StepSpec step = makeStep(static_cast<std::uint32_t>(count), 40'000, 1000);
        step.set_lasting(true);
        shard.scheduler.submit(makeJob("job", { step }), 1, shard.now, testStartUnixMs);
        const auto advance = [&] {
            shard.now += 100ms;
            shard.scheduler.onTick(shard.now, testStartUnixMs);
            shard.scheduleAndCommit();
        };
        for (int tick = 0; tick < 60 && shard.output.delegations.size() < count; ++tick)
            advance();
        REQUIRE(shard.output.delegations.size() >= count);
        shard.scheduler.cancel("job", 2, testStartUnixMs);
        shard.scheduleAndCommit();
        const std::size_t cancelCount = shard.output.delegationCancels.size();
        CHECK(cancelCount == 1);
        for (int tick = 0; tick < 10; ++tick)
            advance();
        // The call is repeated until it is answered.
        CHECK(shard.output.delegationCancels.size() > cancelCount);
        shard.scheduler.onDelegatedTasksCancelled("job", "host");
        // Something that waits keeps ticks looking for transfers.
        shard.scheduler.submit(
            makeJob("waiting", { makeStep(1, 40'000, 1000) }), 3, shard.now, testStartUnixMs);
        for (int tick = 0; tick < 2; ++tick)
            advance();
        INFO(workerCount << " workers");
        shard.now += 100ms;
        shard.scheduler.onTick(shard.now, testStartUnixMs);
        CHECK(shard.scheduler.latestPass().spent(Fleet::StepKind::Transfers) <= 10);
    }
}

namespace {

std::size_t callSteps(const SchedulerFixture& shard)
{
    return shard.scheduler.latestCall().spent(Fleet::StepKind::Calls);
}

} // namespace

TEST_CASE("A transaction does not examine all jobs that have ended, which are looked through once a second")
{
    for (const std::size_t workerCount : shardSizes) {
        ShardWithEndedJobs shard(workerCount);
        INFO(workerCount << " workers");
        std::size_t searches = 0;
        for (std::int64_t elapsedMs = 100; elapsedMs <= 3000; elapsedMs += 100) {
            shard.scheduler.beginCommit(testStartUnixMs + elapsedMs);
            searches += callSteps(shard) > workerCount ? 1 : 0;
            CHECK(callSteps(shard) <= 2 * workerCount + 1);
        }
        CHECK(searches >= 2);
        CHECK(searches <= 4);
        // The jobs are removed one second after their time at the latest, a transaction after the other.
        std::size_t batchCount = 0;
        std::size_t removedCount = 0;
        while (const auto batch = shard.scheduler.beginCommit(testStartUnixMs + 121'001)) {
            ++batchCount;
            removedCount += batch->removals.size();
            CHECK(callSteps(shard) <= 3 * workerCount + 2);
            shard.scheduler.onCommitted(shard.now);
        }
        CHECK(removedCount == workerCount);
        CHECK(batchCount <= workerCount / 90 + 1);
    }
}

TEST_CASE("A transaction does not examine the tasks of jobs that are hosted for other shards")
{
    for (const std::size_t workerCount : shardSizes) {
        SchedulerFixture shard(1);
        FleetSchema::TaskTransfer transfer;
        transfer.set_transfer(1);
        transfer.set_origin_shard("origin");
        for (std::size_t number = 0; number < workerCount; ++number) {
            *transfer.mutable_job()
                = makeJob("hosted-" + std::to_string(number), { makeStep(10, 40'000, 1000) });
            transfer.set_index(9);
            shard.scheduler.acceptDelegatedTask(transfer, number, shard.now);
        }
        while (shard.scheduleAndCommit()) { }
        INFO(workerCount << " workers");
        shard.scheduler.beginCommit(testStartUnixMs + 1000);
        CHECK(callSteps(shard) <= workerCount + 1);
    }
}

TEST_CASE("A transaction holds a bounded number of tasks, and those that follow hold the others")
{
    for (const std::size_t workerCount : shardSizes) {
        SchedulerFixture shard(workerCount);
        // Ten tasks for each worker, in jobs as wide as possible, and more than a transaction may hold.
        const std::size_t jobCount = std::max<std::size_t>(10 * workerCount / maxTasks, 60);
        for (std::size_t number = 0; number < jobCount; ++number)
            shard.scheduler.submit(
                makeJob("job-" + std::to_string(number), { makeStep(maxTasks, 40'000, 1000) }), number,
                shard.now, testStartUnixMs);
        INFO(workerCount << " workers");
        std::size_t batchCount = 0;
        while (const auto batch = shard.scheduler.beginCommit(testStartUnixMs)) {
            ++batchCount;
            CHECK(callSteps(shard) <= 25'000 + workerCount + jobCount);
            shard.scheduler.onCommitted(shard.now);
        }
        CHECK(batchCount <= jobCount * maxTasks / 25'000 + 1);
        CHECK(shard.output.answers.size() == jobCount);
    }
}

namespace {

constexpr std::size_t tasksPerWorker = 10;

/*! A shard whose workers have ten tasks each, with an owner that took them over. */
struct TakenOverShard {
    explicit TakenOverShard(std::size_t workerCount)
        : former(workerCount)
        , owner(workerCount)
    {
        for (std::size_t number = 0; number < workerCount; ++number)
            former.scheduler.submit(
                makeJob("job-" + std::to_string(number), { makeStep(tasksPerWorker, 3'000, 60'000) }), 1,
                former.now, testStartUnixMs);
        while (former.scheduleAndCommit())
            former.confirmStarts();
        REQUIRE(former.running.size() == tasksPerWorker * workerCount);
        for (const auto& [key, value] : former.rows) {
            FleetSchema::JobRecord record;
            REQUIRE(record.ParseFromString(value));
            owner.scheduler.restore(record, owner.now, testStartUnixMs);
        }
        for (const Fleet::AttemptStart& attempt : former.running)
            reports[attempt.worker].running.push_back({ attempt.task, attempt.attempt, {}, 50, 1000 });
    }

    SchedulerFixture former;
    SchedulerFixture owner;
    std::map<std::string, Ports::WorkerReport> reports; //!< Of the workers with all their tasks.
};

} // namespace

TEST_CASE("The report of a worker that is back does not examine the tasks that other workers have lost")
{
    for (const std::size_t workerCount : shardSizes) {
        TakenOverShard shard(workerCount);
        SchedulerFixture& owner = shard.owner;
        for (int poll = 0; poll < 2; ++poll) {
            for (const std::string& worker : owner.workers)
                owner.scheduler.onPollFailed(worker, true);
        }
        owner.now += 30s;
        owner.scheduler.onTick(owner.now, testStartUnixMs);
        std::size_t mostSteps = 0;
        for (const auto& [worker, content] : shard.reports) {
            owner.report(worker, content);
            mostSteps = std::max(mostSteps, callSteps(owner));
        }
        INFO(workerCount << " workers");
        CHECK(mostSteps > 0);
        CHECK(mostSteps <= 1 + 4 * tasksPerWorker);
        // All of them were found to have been cut off.
        owner.now += 3s;
        owner.scheduler.onTick(owner.now, testStartUnixMs);
        CHECK(owner.output.crashes.empty());
    }
}

TEST_CASE("Reports, lists of workers, loads and transactions examine each worker and task a few times")
{
    for (const std::size_t workerCount : shardSizes) {
        TakenOverShard shard(workerCount);
        SchedulerFixture& owner = shard.owner;
        INFO(workerCount << " workers");
        const std::size_t taskCount = tasksPerWorker * workerCount;
        for (const auto& [worker, content] : shard.reports) {
            owner.report(worker, content);
            CHECK(callSteps(owner) <= 1 + 4 * tasksPerWorker);
        }
        std::vector<Ports::WorkerInfo> infos;
        for (const std::string& worker : owner.workers)
            infos.push_back(makeWorkerInfo(worker));
        owner.scheduler.setWorkers(infos, owner.now);
        CHECK(callSteps(owner) <= 4 * workerCount);
        owner.scheduler.load(owner.now);
        CHECK(callSteps(owner) <= 2 * workerCount + taskCount);
        owner.scheduler.beginCommit(testStartUnixMs);
        CHECK(callSteps(owner) <= 2 * workerCount + taskCount);
    }
}

TEST_CASE("A sweep weighs the demand once for each combination of latency-critical images on a worker")
{
    constexpr std::size_t criticalImageCount = 8;
    constexpr std::size_t fillingImageCount = 40;
    for (const std::size_t workerCount : shardSizes) {
        SchedulerFixture shard(workerCount);
        // One task on each worker.
        for (std::size_t image = 0; image < criticalImageCount; ++image) {
            const std::size_t count = (workerCount + image) / criticalImageCount;
            const std::string name = "serving-" + std::to_string(image);
            shard.scheduler.submit(
                makeJob(name, { makeLatencyCriticalStep(static_cast<std::uint32_t>(count), 20'000, name) }),
                1, shard.now, testStartUnixMs);
        }
        while (shard.scheduleAndCommit() || shard.scheduler.isSweepUnfinished())
            shard.confirmStarts();
        REQUIRE(shard.running.size() == workerCount);
        for (std::size_t image = 0; image < fillingImageCount; ++image) {
            const std::string name = "filling-" + std::to_string(image);
            shard.scheduler.submit(
                makeJob(name, { makeBestEffortStep(1, 40'000, name) }), 1, shard.now, testStartUnixMs);
        }
        shard.scheduler.schedule(shard.now, testStartUnixMs);
        INFO(workerCount << " workers");
        const std::size_t taskCount = workerCount + fillingImageCount;
        const std::size_t jobCount = criticalImageCount + fillingImageCount;
        CHECK(shard.scheduler.latestPass().spent(Fleet::StepKind::Preparation)
            <= workerCount + taskCount + 2 * jobCount + criticalImageCount * fillingImageCount);
    }
}
