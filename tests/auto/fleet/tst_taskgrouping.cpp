#include "fleetfixtures.h"

#include <fleet/imagedemand.h>
#include <fleet/interferenceview.h>
#include <fleet/taskgrouping.h>
#include <fleet/workerchoice.h>
#include <fleet/workercommitment.h>

#include <catch2/catch.hpp>

#include <random>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

constexpr double baseTailLatencyMs = 5;

// Two kinds of latency-critical images: "one" and "two" suffer from "red" tasks, "three" from "blue" tasks.
double actualPressure(const std::string& criticalImage, const std::string& colocated)
{
    const bool isRed = colocated == "red";
    return (criticalImage == "three") != isRed ? 1.4 : 0.05;
}

void train(Fleet::TailLatencyModel& model, unsigned seed, int samples)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> own(0.1, 0.5);
    std::uniform_real_distribution<double> share(0.0, 0.2);
    for (int sample = 0; sample < samples; ++sample) {
        for (const char* criticalImage : { "one", "two", "three" }) {
            const std::vector<Fleet::ImageShare> colocated { { "red", share(random) },
                { "blue", share(random) } };
            double utilization = own(random);
            for (const Fleet::ImageShare& part : colocated)
                utilization += part.share * actualPressure(criticalImage, std::string(part.image));
            model.addSample(criticalImage, colocated, baseTailLatencyMs / (1 - std::min(utilization, 0.98)));
        }
    }
}

struct GroupingFixture {
    GroupingFixture()
    {
        demand.add("red", 1000);
        demand.add("blue", 1000);
        demand.computeShares();
        for (int number = 0; number < 3; ++number) {
            workers.push_back(std::make_unique<Fleet::Worker>());
            workers.back()->info = makeWorkerInfo("w" + std::to_string(number));
            workers.back()->isListed = true;
            workers.back()->isResponsive = true;
            workers.back()->clockMs = 1;
            workers.back()->bornMs = workers.back()->info.startedUnixMs;
            workerPointers.push_back(workers.back().get());
        }
    }

    Fleet::Task& makeTask(const std::string& image)
    {
        jobs.push_back(std::make_unique<Fleet::Job>());
        Fleet::initializeJob(
            makeJob("j" + std::to_string(jobs.size()), { makeLatencyCriticalStep(1, 5000, image) }),
            *jobs.back());
        return jobs.back()->tasks[0];
    }

    Fleet::Task& runTask(const std::string& image, std::size_t worker)
    {
        Fleet::Task& task = makeTask(image);
        Fleet::addAttempt(task, *workers[worker]);
        task.worker = workers[worker].get();
        task.phase = Fleet::TaskPhase::Running;
        task.progressPercent = 100;
        task.startedAt = testStart - 60s;
        return task;
    }

    Fleet::InterferenceView view() const { return { model, demand.shares() }; }

    Fleet::TaskMove groupingMove(std::size_t source) const
    {
        return Fleet::chooseGroupingMove(*workers[source], workerPointers, view(), 5s, testStart);
    }

    Fleet::TaskMove consolidationMove() const
    {
        return Fleet::chooseConsolidationMove(workerPointers, view(), 5s, testStart);
    }

    /*! Moves a task as if it had been stopped and started again. */
    void applyMove(const Fleet::TaskMove& move)
    {
        Fleet::removeAttempt(*move.task, *move.task->worker);
        Fleet::addAttempt(*move.task, *move.target);
        move.task->worker = move.target;
    }

    /*! Places best-effort tasks until no worker accepts another one. */
    std::size_t placeBestEffortTasks(const std::string& image)
    {
        std::size_t placedCount = 0;
        while (true) {
            jobs.push_back(std::make_unique<Fleet::Job>());
            Fleet::initializeJob(
                makeJob("f" + std::to_string(jobs.size()), { makeBestEffortStep(1, 4000, image) }),
                *jobs.back());
            Fleet::Task& task = jobs.back()->tasks[0];
            for (Fleet::Worker* worker : workerPointers)
                worker->toleratedDemand = Fleet::toleratedDemandShare(*worker, view());
            Fleet::Worker* const worker = Fleet::chooseWorker(task, workerPointers, view(), testStart);
            if (!worker)
                return placedCount;
            Fleet::addAttempt(task, *worker);
            task.worker = worker;
            ++placedCount;
        }
    }

    Fleet::TailLatencyModel model;
    Fleet::ImageDemand demand;
    std::vector<std::unique_ptr<Fleet::Worker>> workers;
    std::vector<Fleet::Worker*> workerPointers;
    std::vector<std::unique_ptr<Fleet::Job>> jobs;
};

} // namespace

TEST_CASE("A latency-critical task moves to tasks of similar sensitivity")
{
    GroupingFixture fixture;
    train(fixture.model, 21, 600);
    fixture.runTask("one", 0);
    fixture.runTask("two", 0);
    Fleet::Task& odd = fixture.runTask("three", 0);
    fixture.runTask("three", 1);
    const Fleet::TaskMove move = fixture.groupingMove(0);
    CHECK(move.task == &odd);
    CHECK(move.target == fixture.workers[1].get());
    CHECK(fixture.groupingMove(1).task == nullptr);
}

TEST_CASE("Images of similar sensitivity stay together, and nothing moves before the pressures are known")
{
    GroupingFixture fixture;
    fixture.runTask("one", 0);
    fixture.runTask("three", 0);
    CHECK(fixture.groupingMove(0).task == nullptr);
    train(fixture.model, 22, 600);
    CHECK(fixture.groupingMove(0).task != nullptr);
    GroupingFixture alike;
    train(alike.model, 23, 600);
    alike.runTask("one", 0);
    alike.runTask("two", 0);
    CHECK(alike.groupingMove(0).task == nullptr);
}

TEST_CASE("A grouping move respects the disruption budget of the step")
{
    GroupingFixture fixture;
    train(fixture.model, 24, 600);
    fixture.runTask("one", 0);
    fixture.runTask("one", 0);
    fixture.runTask("three", 0);
    fixture.runTask("three", 1);
    for (const auto& job : fixture.jobs) {
        job->spec.mutable_steps(0)->set_has_disruption_budget(true);
        job->spec.mutable_steps(0)->set_disruption_budget(0);
    }
    CHECK(fixture.groupingMove(0).task == nullptr);
}

TEST_CASE("A flood of long-running tasks of several images is grouped by image and leaves a worker free")
{
    GroupingFixture fixture;
    for (const char* image : { "one", "two", "one", "two", "one", "two" }) {
        Fleet::Task& task = fixture.makeTask(image);
        Fleet::Worker* worker = Fleet::chooseWorker(task, fixture.workerPointers, fixture.view(), testStart);
        REQUIRE(worker);
        Fleet::addAttempt(task, *worker);
        task.worker = worker;
    }
    std::size_t unused = 0;
    for (const Fleet::Worker* worker : fixture.workerPointers) {
        unused += worker->tasks.empty() ? 1 : 0;
        for (const Fleet::Task* task : worker->tasks)
            CHECK(task->job->spec.steps(0).image() == worker->tasks[0]->job->spec.steps(0).image());
    }
    CHECK(unused == 1);
}

TEST_CASE("A node that takes over a shard uses the estimates of its peers")
{
    Fleet::TailLatencyModel experienced;
    train(experienced, 25, 600);
    Fleet::TailLatencyModel fresh;
    CHECK_FALSE(fresh.isPressureKnown("one", "red"));
    const std::vector<FleetSchema::TailKnowledge> others { experienced.knowledge() };
    fresh.setPeerKnowledge(others);
    CHECK(fresh.isPressureKnown("one", "red"));
    CHECK(fresh.pressure("one", "red") == Approx(1.4).margin(0.4));
    CHECK(fresh.pressure("three", "red") < 0.4);
    CHECK(fresh.utilizationLimit("one", 18) == Approx(experienced.utilizationLimit("one", 18)));
}

TEST_CASE("A restarted node resumes its former estimates, and new samples outweigh them in time")
{
    Fleet::TailLatencyModel former;
    train(former, 26, 600);
    Fleet::TailLatencyModel model;
    model.resume(former.knowledge());
    CHECK(model.pressure("one", "red") == Approx(former.pressure("one", "red")).epsilon(0.01));
    CHECK(model.utilizationLimit("one", 18) == Approx(former.utilizationLimit("one", 18)));
    train(model, 27, 300);
    CHECK(model.pressure("one", "red") == Approx(1.4).margin(0.4));
}

TEST_CASE("An estimate from few local samples yields to a peer's estimate from many")
{
    Fleet::TailLatencyModel experienced;
    train(experienced, 28, 600);
    Fleet::TailLatencyModel model;
    train(model, 29, 3);
    const std::vector<FleetSchema::TailKnowledge> others { experienced.knowledge() };
    model.setPeerKnowledge(others);
    CHECK(model.pressure("one", "red") == Approx(experienced.pressure("one", "red")).margin(0.15));
}

TEST_CASE("Consolidating sparse latency-critical tasks frees a worker for interfering tasks")
{
    const auto spread = [](GroupingFixture& fixture) {
        train(fixture.model, 30, 600);
        for (std::size_t worker = 0; worker < 3; ++worker) {
            for (std::size_t count = 0; count <= worker; ++count)
                fixture.runTask("one", worker).ownUtilization = 0.7;
        }
    };
    GroupingFixture unchanged;
    spread(unchanged);
    CHECK(unchanged.placeBestEffortTasks("red") == 0);

    GroupingFixture gathered;
    spread(gathered);
    const Fleet::TaskMove move = gathered.consolidationMove();
    REQUIRE(move.task);
    CHECK(move.task->worker == gathered.workers[0].get());
    gathered.applyMove(move);
    CHECK(gathered.workers[0]->criticalTaskCount == 0);
    CHECK(gathered.placeBestEffortTasks("red") >= 4);
    for (const Fleet::Task* task : gathered.workers[0]->tasks)
        CHECK(task->job->spec.steps(0).image() == "red");
}

TEST_CASE("Latency-critical tasks are not consolidated without free capacity or disruption budget")
{
    GroupingFixture full;
    train(full.model, 31, 600);
    full.runTask("one", 0);
    full.runTask("one", 1);
    full.runTask("one", 1);
    for (std::size_t worker = 1; worker < 3; ++worker)
        full.workers[worker]->committed.milliProcessors = full.workers[worker]->info.milliProcessors;
    CHECK(full.consolidationMove().task == nullptr);

    GroupingFixture bound;
    train(bound.model, 32, 600);
    bound.runTask("one", 0);
    bound.runTask("one", 1);
    bound.runTask("one", 1);
    REQUIRE(bound.consolidationMove().task != nullptr);
    for (const auto& job : bound.jobs) {
        job->spec.mutable_steps(0)->set_has_disruption_budget(true);
        job->spec.mutable_steps(0)->set_disruption_budget(0);
    }
    CHECK(bound.consolidationMove().task == nullptr);
}

TEST_CASE("Harmless tasks leave free workers to interfering ones")
{
    GroupingFixture fixture;
    train(fixture.model, 33, 600);
    fixture.runTask("one", 0);
    fixture.runTask("one", 1);
    CHECK(Fleet::toleratedDemandShare(*fixture.workers[0], fixture.view()) < 0.7);
    CHECK(Fleet::toleratedDemandShare(*fixture.workers[2], fixture.view()) == 1);
    Fleet::Job job;
    Fleet::initializeJob(makeJob("blue", { makeBestEffortStep(1, 4000, "blue") }), job);
    for (Fleet::Worker* worker : fixture.workerPointers)
        worker->toleratedDemand = Fleet::toleratedDemandShare(*worker, fixture.view());
    const Fleet::Worker* const worker
        = Fleet::chooseWorker(job.tasks[0], fixture.workerPointers, fixture.view(), testStart);
    REQUIRE(worker);
    CHECK(worker->criticalTaskCount > 0);
}
