#include "fleetfixtures.h"

#include <fleet/interference.h>
#include <fleet/interferenceview.h>
#include <fleet/taillatencymodel.h>
#include <fleet/workerchoice.h>
#include <fleet/workercommitment.h>

#include <catch2/catch.hpp>

#include <random>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

constexpr double baseTailLatencyMs = 4;
constexpr double highPressure = 1.5;
constexpr double lowPressure = 0.15;
// Under half of the capacity in use, a job must not go without a run for 3 s. The rest is for storing the
// attempt and starting it.
constexpr Utils::Duration waitBound = 3s;
constexpr Utils::Duration searchBound = waitBound - 500ms;

// Trains a model with tail latencies as workers report them, in whole milliseconds, of a queue whose own
// load varies.
Fleet::TailLatencyModel trainedModel(unsigned seed)
{
    Fleet::TailLatencyModel model;
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> own(0.2, 0.6);
    std::uniform_real_distribution<double> share(0.0, 0.12);
    for (int sample = 0; sample < 1500; ++sample) {
        const std::vector<Fleet::ImageShare> colocated { { "hot", share(random) },
            { "mild", share(random) } };
        const double utilization = std::min(
            0.98, own(random) + highPressure * colocated[0].share + lowPressure * colocated[1].share);
        model.addSample("serving", colocated, std::round(baseTailLatencyMs / (1 - utilization)));
    }
    return model;
}

struct WorkerPool {
    explicit WorkerPool(std::size_t workerCount)
    {
        for (std::size_t number = 0; number < workerCount; ++number) {
            workers.push_back(std::make_unique<Fleet::Worker>());
            workers.back()->info = makeWorkerInfo("w" + std::to_string(number));
            workers.back()->isListed = true;
            workers.back()->isResponsive = true;
            workers.back()->clockMs = 1;
            workers.back()->bornMs = workers.back()->info.startedUnixMs;
            workerPointers.push_back(workers.back().get());
        }
    }

    Fleet::Task& runTask(const FleetSchema::StepSpec& step, Fleet::Worker& worker)
    {
        Fleet::Task& task = makeTask(step);
        Fleet::addAttempt(task, worker);
        task.worker = &worker;
        task.phase = Fleet::TaskPhase::Running;
        return task;
    }

    Fleet::Task& makeTask(const FleetSchema::StepSpec& step)
    {
        jobs.push_back(std::make_unique<Fleet::Job>());
        Fleet::initializeJob(makeJob("j" + std::to_string(jobs.size()), { step }), *jobs.back());
        return jobs.back()->tasks[0];
    }

    std::vector<std::unique_ptr<Fleet::Worker>> workers;
    std::vector<Fleet::Worker*> workerPointers;
    std::vector<std::unique_ptr<Fleet::Job>> jobs;
};

} // namespace

TEST_CASE("The model distinguishes image pairs with strong interference from pairs with little")
{
    const Fleet::TailLatencyModel model = trainedModel(11);
    CHECK(model.pressure("serving", "hot") == Approx(highPressure).margin(0.4));
    CHECK(model.pressure("serving", "mild") < 0.5);
    CHECK(model.utilizationLimit("serving", 18) == Approx(1 - baseTailLatencyMs / 18).margin(0.08));
}

TEST_CASE("An interfering task is placed on the worker whose latency-critical task has enough headroom")
{
    const Fleet::TailLatencyModel model = trainedModel(12);
    WorkerPool fleet(2);
    fleet.runTask(makeLatencyCriticalStep(1, 6000, "serving"), *fleet.workers[0]).ownUtilization = 0.6;
    fleet.runTask(makeLatencyCriticalStep(1, 12'000, "serving"), *fleet.workers[1]).ownUtilization = 0.2;
    Fleet::Task& hot = fleet.makeTask(makeBestEffortStep(1, 4000, "hot"));
    CHECK(Fleet::chooseWorker(hot, fleet.workerPointers, { model }, testStart) == fleet.workers[1].get());
}

TEST_CASE("A task that would make a latency-critical task miss its target waits; a harmless one does not")
{
    const Fleet::TailLatencyModel model = trainedModel(13);
    WorkerPool fleet(1);
    fleet.runTask(makeLatencyCriticalStep(1, 6000, "serving"), *fleet.workers[0]).ownUtilization = 0.65;
    CHECK(Fleet::chooseWorker(
              fleet.makeTask(makeBestEffortStep(1, 4000, "hot")), fleet.workerPointers, { model }, testStart)
        == nullptr);
    fleet.workers[0]->tasks[0]->ownUtilization = 0.4;
    CHECK(Fleet::chooseWorker(
        fleet.makeTask(makeBestEffortStep(1, 1000, "mild")), fleet.workerPointers, { model }, testStart));
}

TEST_CASE(
    "An interfering task is not placed where the usual load rise during its run would use up the headroom")
{
    const Fleet::TailLatencyModel model = trainedModel(18);
    WorkerPool fleet(1);
    Fleet::Task& hot = fleet.makeTask(makeBestEffortStep(1, 4000, "hot"));
    const double added = 0.125 * model.pressure("serving", "hot");
    // The usual load varies by 0.2 within 14 s, which means a rise of about 0.15 in two seconds.
    const double rise = 0.13;
    fleet.runTask(makeLatencyCriticalStep(1, 6000, "serving"), *fleet.workers[0]).ownUtilization
        = model.utilizationLimit("serving", 18) - added - rise;
    CHECK(Fleet::chooseWorker(hot, fleet.workerPointers, { model }, testStart) == nullptr);
    fleet.workers[0]->tasks[0]->ownUtilization -= 0.1;
    CHECK(Fleet::chooseWorker(hot, fleet.workerPointers, { model }, testStart) == fleet.workers[0].get());
}

TEST_CASE("No best-effort task is placed on a worker where a task has long been over its target")
{
    const Fleet::TailLatencyModel model = trainedModel(19);
    WorkerPool fleet(1);
    Fleet::Task& critical = fleet.runTask(makeLatencyCriticalStep(1, 6000, "serving"), *fleet.workers[0]);
    critical.ownUtilization = 0.2;
    critical.overTargetSince = testStart;
    Fleet::Task& mild = fleet.makeTask(makeBestEffortStep(1, 500, "mild"));
    const auto choose = [&](Utils::Duration later) {
        return Fleet::chooseWorker(mild, fleet.workerPointers, { model }, testStart + later);
    };
    CHECK(choose(1s) == fleet.workers[0].get());
    CHECK(choose(3s) == nullptr);
    critical.overTargetSince = {};
    CHECK(choose(3s) == fleet.workers[0].get());
}

TEST_CASE("When a latency-critical task's own load rises, only the most interfering task is throttled")
{
    const Fleet::TailLatencyModel model = trainedModel(14);
    WorkerPool fleet(1);
    Fleet::Worker& worker = *fleet.workers[0];
    fleet.runTask(makeLatencyCriticalStep(1, 6000, "serving"), worker).ownUtilization = 0.66;
    Fleet::Task& hot = fleet.runTask(makeBestEffortStep(1, 4000, "hot"), worker);
    Fleet::Task& mild = fleet.runTask(makeBestEffortStep(1, 1000, "mild"), worker);
    const auto changes = Fleet::chooseSpeeds(worker, model, testStart);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].task == &hot);
    CHECK(changes[0].speedPercent < 100);
    CHECK(mild.speedPercent == 100);
}

TEST_CASE("A throttled task returns to full speed once the target is met at that speed")
{
    const Fleet::TailLatencyModel model = trainedModel(15);
    WorkerPool fleet(1);
    Fleet::Worker& worker = *fleet.workers[0];
    fleet.runTask(makeLatencyCriticalStep(1, 6000, "serving"), worker).ownUtilization = 0.3;
    fleet.runTask(makeBestEffortStep(1, 3000, "hot"), worker).speedPercent = 25;
    const auto changes = Fleet::chooseSpeeds(worker, model, testStart);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].speedPercent == 100);
}

TEST_CASE("All best-effort tasks are throttled to zero when a task is over its target for too long")
{
    const Fleet::TailLatencyModel model = trainedModel(16);
    WorkerPool fleet(1);
    Fleet::Worker& worker = *fleet.workers[0];
    Fleet::Task& critical = fleet.runTask(makeLatencyCriticalStep(1, 6000, "serving"), worker);
    critical.ownUtilization = 0.3;
    critical.overTargetSince = testStart;
    fleet.runTask(makeBestEffortStep(1, 1000, "mild"), worker);
    CHECK(Fleet::chooseSpeeds(worker, model, testStart + 1s).empty());
    const auto changes = Fleet::chooseSpeeds(worker, model, testStart + 2500ms);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].speedPercent == 0);
}

TEST_CASE("A tail latency that varies around the target counts as over it until it is clearly below")
{
    Fleet::TailLatencyModel model;
    WorkerPool fleet(1);
    Fleet::Worker& worker = *fleet.workers[0];
    Fleet::Task& critical = fleet.runTask(makeLatencyCriticalStep(1, 6000, "serving"), worker);
    critical.progressPercent = 100;
    const auto target = static_cast<std::int64_t>(critical.job->step(critical).tail_target_ms());
    const auto report = [&](std::int64_t tailLatencyMs, Utils::Duration later) {
        critical.reportedLoad = tailLatencyMs;
        Fleet::processTailLatencies(worker, model, testStart + later);
        return Fleet::isPersistentlyOverTarget(critical, testStart + later);
    };
    CHECK_FALSE(report(target, 0s));
    CHECK_FALSE(report(target + 1, 100ms));
    CHECK_FALSE(report(target, 1s));
    CHECK_FALSE(report(target + 1, 2s));
    CHECK(report(target, 2500ms));
    CHECK_FALSE(report(target * 9 / 10, 3s));
    CHECK_FALSE(report(target + 1, 3500ms));
}

TEST_CASE("Best-effort tasks beyond the unused processors wait instead of slowing down running ones")
{
    const Fleet::TailLatencyModel model;
    WorkerPool fleet(1);
    for (int number = 0; number < 8; ++number)
        fleet.runTask(makeBestEffortStep(1, 4000, "mild"), *fleet.workers[0]);
    CHECK(Fleet::chooseWorker(
              fleet.makeTask(makeBestEffortStep(1, 4000, "mild")), fleet.workerPointers, { model }, testStart)
        == nullptr);
}

TEST_CASE("A quarantined worker gets a single probe task, and none that has failed before")
{
    const Fleet::TailLatencyModel model;
    WorkerPool fleet(1);
    Fleet::Worker& worker = *fleet.workers[0];
    worker.quarantineTime = 1s;
    worker.quarantinedUntil = testStart + 1s;
    Fleet::Task& task = fleet.makeTask(makeStep(1, 1000, 500));
    CHECK(Fleet::chooseWorker(task, fleet.workerPointers, { model }, testStart) == nullptr);
    CHECK(Fleet::chooseWorker(task, fleet.workerPointers, { model }, testStart + 2s) == &worker);
    task.failures = 1;
    CHECK(Fleet::chooseWorker(task, fleet.workerPointers, { model }, testStart + 2s) == nullptr);
}

TEST_CASE("A quarantined worker is probed although long-running tasks are at work there")
{
    const Fleet::TailLatencyModel model;
    WorkerPool fleet(1);
    Fleet::Worker& worker = *fleet.workers[0];
    Fleet::Task& lasting = fleet.runTask(makeLatencyCriticalStep(1, 6000, "serving"), worker);
    worker.quarantineTime = 1s;
    worker.quarantinedUntil = testStart + 1s;
    Fleet::Task& task = fleet.makeTask(makeStep(1, 1000, 500));
    lasting.progressPercent = 50;
    CHECK(Fleet::chooseWorker(task, fleet.workerPointers, { model }, testStart + 2s) == nullptr);
    lasting.progressPercent = 100;
    CHECK(Fleet::chooseWorker(task, fleet.workerPointers, { model }, testStart + 2s) == &worker);
    fleet.runTask(makeStep(1, 1000, 500), worker);
    CHECK(Fleet::chooseWorker(task, fleet.workerPointers, { model }, testStart + 2s) == nullptr);
}

TEST_CASE("A task that interferes everywhere starts throttled after a while, sooner in an idle fleet")
{
    const Fleet::TailLatencyModel model = trainedModel(17);
    WorkerPool fleet(1);
    Fleet::Worker& worker = *fleet.workers[0];
    fleet.runTask(makeLatencyCriticalStep(1, 6000, "serving"), worker).ownUtilization = 0.55;
    Fleet::Task& hot = fleet.makeTask(makeBestEffortStep(1, 4000, "hot"));
    CHECK(Fleet::chooseWorker(hot, fleet.workerPointers, { model }, testStart) == nullptr);
    hot.waitingSince = testStart;
    CHECK(Fleet::chooseWorker(hot, fleet.workerPointers, { model }, testStart + 1s) == nullptr);
    CHECK(Fleet::chooseWorker(hot, fleet.workerPointers, { model }, testStart + 2s) == &worker);
    // A latency-critical task counts with about half of its processors; short tasks count in full.
    fleet.runTask(makeLatencyCriticalStep(1, 8000, "other"), worker).ownUtilization = 0;
    CHECK(Fleet::chooseWorker(hot, fleet.workerPointers, { model }, testStart + 2s) == &worker);
    fleet.runTask(makeStep(1, 14'000, 1000), worker);
    CHECK(Fleet::chooseWorker(hot, fleet.workerPointers, { model }, testStart + 4s) == nullptr);
    CHECK(Fleet::chooseWorker(hot, fleet.workerPointers, { model }, testStart + 6s) == &worker);
}

TEST_CASE(
    "A task that waits long enough may start beside a task that stays over its target, throttled to zero")
{
    const Fleet::TailLatencyModel model = trainedModel(18);
    WorkerPool fleet(1);
    Fleet::Worker& worker = *fleet.workers[0];
    Fleet::Task& critical = fleet.runTask(makeLatencyCriticalStep(1, 6000, "serving"), worker);
    critical.ownUtilization = 0.9;
    critical.overTargetSince = testStart;
    Fleet::Task& mild = fleet.makeTask(makeBestEffortStep(1, 1000, "mild"));
    mild.waitingSince = testStart;
    // In a shard of which more than half is in use.
    fleet.runTask(makeStep(1, 14'000, 1000), worker);
    CHECK(Fleet::chooseWorker(mild, fleet.workerPointers, { model }, testStart + 6s) == nullptr);
    CHECK(Fleet::chooseWorker(mild, fleet.workerPointers, { model }, testStart + 8s) == &worker);
    fleet.runTask(makeBestEffortStep(1, 1000, "mild"), worker);
    const auto changes = Fleet::chooseSpeeds(worker, model, testStart + 8s);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].speedPercent == 0);
}

TEST_CASE("In an idle shard, a job without a run starts beside a task that stays over its target")
{
    const Fleet::TailLatencyModel model = trainedModel(18);
    WorkerPool fleet(1);
    Fleet::Worker& worker = *fleet.workers[0];
    Fleet::Task& critical = fleet.runTask(makeLatencyCriticalStep(1, 6000, "serving"), worker);
    critical.ownUtilization = 0.9;
    critical.overTargetSince = testStart - 10s;
    Fleet::Task& mild = fleet.makeTask(makeBestEffortStep(1, 1000, "mild"));
    mild.waitingSince = testStart;
    CHECK(Fleet::chooseWorker(mild, fleet.workerPointers, { model }, testStart + 1s) == nullptr);
    CHECK(Fleet::chooseWorker(mild, fleet.workerPointers, { model }, testStart + searchBound) == &worker);
    // A task at work that is not throttled yet might be what keeps the other over its target.
    Fleet::Task& other = fleet.runTask(makeBestEffortStep(1, 1000, "mild"), worker);
    CHECK(Fleet::chooseWorker(mild, fleet.workerPointers, { model }, testStart + searchBound) == nullptr);
    other.speedPercent = 0;
    other.throttledSince = testStart + searchBound - 100ms;
    CHECK(Fleet::chooseWorker(mild, fleet.workerPointers, { model }, testStart + searchBound) == nullptr);
    other.throttledSince = testStart;
    CHECK(Fleet::chooseWorker(mild, fleet.workerPointers, { model }, testStart + searchBound) == &worker);
}

TEST_CASE("Best-effort tasks, which commit no processors, do not make a job without a run wait for longer")
{
    const Fleet::TailLatencyModel model = trainedModel(17);
    WorkerPool fleet(1);
    Fleet::Worker& worker = *fleet.workers[0];
    fleet.runTask(makeLatencyCriticalStep(1, 6000, "serving"), worker).ownUtilization = 0.55;
    for (int number = 0; number < 4; ++number)
        fleet.runTask(makeBestEffortStep(1, 4000, "mild"), worker);
    Fleet::Task& hot = fleet.makeTask(makeBestEffortStep(1, 4000, "hot"));
    hot.waitingSince = testStart;
    CHECK(Fleet::chooseWorker(hot, fleet.workerPointers, { model }, testStart + 1s) == nullptr);
    CHECK(Fleet::chooseWorker(hot, fleet.workerPointers, { model }, testStart + searchBound) == &worker);
}

TEST_CASE("A job without a run may use the processors of tasks that are throttled, and no others")
{
    const Fleet::TailLatencyModel model = trainedModel(17);
    WorkerPool fleet(1);
    Fleet::Worker& worker = *fleet.workers[0];
    for (int number = 0; number < 8; ++number)
        fleet.runTask(makeBestEffortStep(1, 4000, "mild"), worker);
    Fleet::Task& task = fleet.makeTask(makeBestEffortStep(1, 4000, "mild"));
    task.waitingSince = testStart;
    CHECK(Fleet::chooseWorker(task, fleet.workerPointers, { model }, testStart + searchBound) == nullptr);
    for (Fleet::Task* running : worker.tasks)
        running->speedPercent = 0;
    CHECK(Fleet::chooseWorker(task, fleet.workerPointers, { model }, testStart + 1s) == nullptr);
    CHECK(Fleet::chooseWorker(task, fleet.workerPointers, { model }, testStart + searchBound) == &worker);
}

TEST_CASE("A task on a worker that does not answer does not make the others of its job wait")
{
    const Fleet::TailLatencyModel model = trainedModel(17);
    WorkerPool fleet(2);
    Fleet::Worker& worker = *fleet.workers[0];
    Fleet::Worker& silent = *fleet.workers[1];
    fleet.runTask(makeLatencyCriticalStep(1, 6000, "serving"), worker).ownUtilization = 0.55;
    Fleet::Task& lost = fleet.makeTask(makeBestEffortStep(2, 4000, "hot"));
    Fleet::Task& waiting = lost.job->tasks[1];
    Fleet::addAttempt(lost, silent);
    lost.worker = &silent;
    waiting.waitingSince = testStart;
    const auto choose = [&](Fleet::TaskPhase phase, bool isResponsive) {
        lost.phase = phase;
        silent.isResponsive = isResponsive;
        // No task can be started there.
        silent.info.isDraining = true;
        return Fleet::chooseWorker(waiting, fleet.workerPointers, { model }, testStart + searchBound);
    };
    CHECK(choose(Fleet::TaskPhase::Running, true) == nullptr);
    CHECK(choose(Fleet::TaskPhase::Running, false) == &worker);
    CHECK(choose(Fleet::TaskPhase::Stopping, false) == &worker);
    CHECK(choose(Fleet::TaskPhase::Unverified, false) == &worker);
}

TEST_CASE("A task that starts beside one over its target is throttled as soon as it is known to run")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.submit(
        makeJob("serving", { makeLatencyCriticalStep(1, 6000, "serving") }), 1, fixture.now, testStartUnixMs);
    fixture.scheduleAndCommit();
    fixture.confirmStarts();
    REQUIRE(fixture.running.size() == 1);
    const Fleet::AttemptStart serving = fixture.running[0];
    const auto advance = [&](Utils::Duration duration, std::size_t startCount) {
        for (const Utils::TimePoint end = fixture.now + duration;
             fixture.now < end && fixture.output.starts.size() < startCount;) {
            fixture.now += 100ms;
            Ports::WorkerReport content;
            content.running.push_back({ serving.task, serving.attempt, {}, 100, 500 });
            fixture.report("w0", content);
            fixture.scheduler.onTick(fixture.now, testStartUnixMs);
            fixture.scheduleAndCommit();
        }
    };
    advance(4s, 2);
    fixture.scheduler.submit(
        makeJob("filling", { makeBestEffortStep(1, 1000, "mild") }), 2, fixture.now, testStartUnixMs);
    advance(searchBound, 2);
    REQUIRE(fixture.output.starts.size() == 2);
    fixture.confirmStarts();
    REQUIRE(fixture.output.throttles.size() == 1);
    CHECK(fixture.output.throttles[0].task.job == "filling");
    CHECK(fixture.output.throttles[0].number == 0);
}

TEST_CASE("Workers that cannot be used do not make a fleet seem idle")
{
    const Fleet::TailLatencyModel model = trainedModel(17);
    WorkerPool fleet(2);
    Fleet::Worker& worker = *fleet.workers[0];
    fleet.workers[1]->isResponsive = false;
    fleet.workers[1]->info.milliProcessors = 10'000'000;
    fleet.runTask(makeLatencyCriticalStep(1, 6000, "serving"), worker).ownUtilization = 0.55;
    fleet.runTask(makeStep(1, 20'000, 1000), worker);
    Fleet::Task& hot = fleet.makeTask(makeBestEffortStep(1, 4000, "hot"));
    hot.waitingSince = testStart;
    CHECK(Fleet::chooseWorker(hot, fleet.workerPointers, { model }, testStart + 2s) == nullptr);
    CHECK(Fleet::chooseWorker(hot, fleet.workerPointers, { model }, testStart + 6s) == &worker);
}

TEST_CASE("On a worker over its target, tasks that waited for long start one after the other")
{
    const Fleet::TailLatencyModel model = trainedModel(31);
    WorkerPool fleet(1);
    Fleet::Task& serving = fleet.runTask(makeLatencyCriticalStep(1, 20'000, "serving"), *fleet.workers[0]);
    serving.overTargetSince = testStart - 10s;
    Fleet::Task& first = fleet.makeTask(makeBestEffortStep(1, 1000, "hot"));
    Fleet::Task& second = fleet.makeTask(makeBestEffortStep(1, 1000, "hot"));
    first.waitingSince = testStart - 9s;
    second.waitingSince = testStart - 9s;
    REQUIRE(Fleet::chooseWorker(first, fleet.workerPointers, { model }, testStart));
    // A start runs at full speed until its worker's next report has led to a throttle.
    Fleet::addAttempt(first, *fleet.workers[0]);
    first.worker = fleet.workers[0].get();
    first.phase = Fleet::TaskPhase::Sent;
    CHECK(Fleet::chooseWorker(second, fleet.workerPointers, { model }, testStart) == nullptr);
}
