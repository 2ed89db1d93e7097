#include "transferfixture.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

constexpr std::uint32_t layerCount = 10;
constexpr std::uint32_t stepsInLayer = 10;

/*! \return a job in which each step of a layer follows all steps of the layer before, and a last step all
 * others. */
FleetSchema::JobSpec makeLayeredJob()
{
    FleetSchema::JobSpec spec = makeJob("layered", {});
    for (std::uint32_t number = 0; number <= layerCount * stepsInLayer; ++number) {
        FleetSchema::StepSpec& step = *spec.add_steps();
        step = makeStep(1, 1000, 100);
        const std::uint32_t layer = number / stepsInLayer;
        for (std::uint32_t other = 0; layer > 0 && other < stepsInLayer; ++other)
            step.add_after((layer - 1) * stepsInLayer + other);
    }
    return spec;
}

/*! \return the estimated run time of that many steps one after the other. */
std::int64_t pathMs(std::uint32_t steps)
{
    constexpr std::int64_t stepMs = 100;
    return steps * stepMs;
}

/*! \return the last task of the job as another shard delegates it. */
FleetSchema::TaskTransfer makeTransferOfLastTask()
{
    FleetSchema::TaskTransfer transfer;
    *transfer.mutable_job() = makeLayeredJob();
    transfer.set_step(layerCount * stepsInLayer);
    transfer.set_transfer(1);
    transfer.set_origin_shard("origin");
    return transfer;
}

} // namespace

TEST_CASE(
    "A host shard accepts and loads a task of a layered pipeline in a time that does not grow with its paths")
{
    const auto startedAt = std::chrono::steady_clock::now();
    SchedulerFixture host(1);
    host.scheduler.acceptDelegatedTask(makeTransferOfLastTask(), 1, host.now);
    host.scheduler.schedule(host.now, testStartUnixMs);
    const auto batch = host.scheduler.beginCommit(testStartUnixMs);
    REQUIRE(batch);
    host.scheduler.onCommitted(host.now);
    CHECK(host.output.starts.size() == 1);

    FleetSchema::JobRecord record;
    REQUIRE(record.ParseFromString(batch->puts.front().value));
    SchedulerFixture successor(1);
    successor.scheduler.restore(record, successor.now, testStartUnixMs);
    CHECK(successor.scheduler.countUnconfirmedAttempts() == 1);
    // Walking each of its 10^10 paths would take many times longer.
    CHECK(std::chrono::steady_clock::now() - startedAt < 2s);
}

TEST_CASE("The steps of a layered pipeline run in order, and its critical path shrinks with each layer")
{
    Fleet::Job job;
    Fleet::initializeJob(makeLayeredJob(), job);
    CHECK(job.remainingCriticalPathMs(0) == pathMs(layerCount + 1));
    CHECK(Fleet::objectiveMs(job) == 2 * pathMs(layerCount + 1) + 500);
    for (std::uint32_t step = 0; step < stepsInLayer; ++step) {
        CHECK(job.isStepReady(0, step, testStartUnixMs));
        CHECK_FALSE(job.isStepReady(0, stepsInLayer, testStartUnixMs));
        job.countDoneTask(0, step);
    }
    CHECK(job.isStepReady(0, stepsInLayer, testStartUnixMs));
    CHECK_FALSE(job.isStepReady(0, 2 * stepsInLayer, testStartUnixMs));
    CHECK(job.remainingCriticalPathMs(0) == pathMs(layerCount));
    job.markPredecessorsDone(0, layerCount * stepsInLayer);
    CHECK(job.isStepReady(0, layerCount * stepsInLayer, testStartUnixMs));
    CHECK(job.remainingCriticalPathMs(0) == pathMs(1));
}

TEST_CASE("Repeated predecessors of a step are removed")
{
    FleetSchema::JobSpec spec = makeJob("job", { makeStep(1, 1000, 100), makeStep(1, 1000, 100) });
    spec.mutable_steps(1)->add_after(0);
    spec.mutable_steps(1)->add_after(0);
    Fleet::removeRepeatedPredecessors(spec);
    CHECK(spec.steps(1).after_size() == 1);
}
