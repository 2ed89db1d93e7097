#include "fleetfixtures.h"

#include <fleet/interference.h>
#include <fleet/interferenceview.h>
#include <fleet/tailmodel.h>
#include <fleet/workerchoice.h>
#include <fleet/workercommitment.h>

#include <catch2/catch.hpp>

#include <random>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

constexpr double baseTailMs = 4;
constexpr double hotPressure = 1.5;
constexpr double mildPressure = 0.15;

// Tails as the users' workers report them: a queue whose own load swings, in whole milliseconds.
Fleet::TailModel trainedModel(unsigned seed)
{
    Fleet::TailModel model;
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> own(0.2, 0.6);
    std::uniform_real_distribution<double> share(0.0, 0.12);
    for (int sample = 0; sample < 1500; ++sample) {
        const std::vector<Fleet::ImageShare> beside { { "hot", share(random) }, { "mild", share(random) } };
        const double utilization
            = std::min(0.98, own(random) + hotPressure * beside[0].share + mildPressure * beside[1].share);
        model.learn("serving", beside, std::round(baseTailMs / (1 - utilization)));
    }
    return model;
}

struct Fleetlet {
    explicit Fleetlet(std::size_t workerCount)
    {
        for (std::size_t number = 0; number < workerCount; ++number) {
            workers.push_back(std::make_unique<Fleet::Worker>());
            workers.back()->info = makeWorkerInfo("w" + std::to_string(number));
            workers.back()->isListed = true;
            workers.back()->isAnswering = true;
            workers.back()->clockMs = 1;
            pointers.push_back(workers.back().get());
        }
    }

    Fleet::Task& add(const FleetSchema::StepSpec& step, Fleet::Worker& worker)
    {
        Fleet::Task& task = make(step);
        Fleet::addAttempt(task, worker);
        task.worker = &worker;
        task.phase = Fleet::TaskPhase::Running;
        return task;
    }

    Fleet::Task& make(const FleetSchema::StepSpec& step)
    {
        jobs.push_back(std::make_unique<Fleet::Job>());
        Fleet::initializeJob(makeJob("j" + std::to_string(jobs.size()), { step }), *jobs.back());
        return jobs.back()->tasks[0];
    }

    std::vector<std::unique_ptr<Fleet::Worker>> workers;
    std::vector<Fleet::Worker*> pointers;
    std::vector<std::unique_ptr<Fleet::Job>> jobs;
};

} // namespace

TEST_CASE("The model tells disturbing pairs of images from harmless ones")
{
    const Fleet::TailModel model = trainedModel(11);
    CHECK(model.pressure("serving", "hot") == Approx(hotPressure).margin(0.4));
    CHECK(model.pressure("serving", "mild") < 0.5);
    CHECK(model.limit("serving", 18) == Approx(1 - baseTailMs / 18).margin(0.08));
}

TEST_CASE("Disturbing work goes to the worker whose serving tasks bear it")
{
    const Fleet::TailModel model = trainedModel(12);
    Fleetlet fleet(2);
    fleet.add(makeServingStep(1, 6000, "serving"), *fleet.workers[0]).ownUtilization = 0.6;
    fleet.add(makeServingStep(1, 12'000, "serving"), *fleet.workers[1]).ownUtilization = 0.2;
    Fleet::Task& hot = fleet.make(makeFillingStep(1, 4000, "hot"));
    CHECK(Fleet::chooseWorker(hot, fleet.pointers, { model }, testStart) == fleet.workers[1].get());
}

TEST_CASE("Work waits rather than make a serving task miss its target, harmless work does not")
{
    const Fleet::TailModel model = trainedModel(13);
    Fleetlet fleet(1);
    fleet.add(makeServingStep(1, 6000, "serving"), *fleet.workers[0]).ownUtilization = 0.65;
    CHECK(
        Fleet::chooseWorker(fleet.make(makeFillingStep(1, 4000, "hot")), fleet.pointers, { model }, testStart)
        == nullptr);
    fleet.workers[0]->tasks[0]->ownUtilization = 0.4;
    CHECK(Fleet::chooseWorker(
        fleet.make(makeFillingStep(1, 1000, "mild")), fleet.pointers, { model }, testStart));
}

TEST_CASE("Disturbing work is not placed where the usual rise of a load within its run uses the headroom up")
{
    const Fleet::TailModel model = trainedModel(18);
    Fleetlet fleet(1);
    Fleet::Task& hot = fleet.make(makeFillingStep(1, 4000, "hot"));
    const double added = 0.125 * model.pressure("serving", "hot");
    // A load that swings by 0.2 within 14 s rises by some 0.15 in two seconds.
    const double rise = 0.13;
    fleet.add(makeServingStep(1, 6000, "serving"), *fleet.workers[0]).ownUtilization
        = model.limit("serving", 18) - added - rise;
    CHECK(Fleet::chooseWorker(hot, fleet.pointers, { model }, testStart) == nullptr);
    fleet.workers[0]->tasks[0]->ownUtilization -= 0.1;
    CHECK(Fleet::chooseWorker(hot, fleet.pointers, { model }, testStart) == fleet.workers[0].get());
}

TEST_CASE(
    "Nothing is placed beside a task that has been over its target for long, however little it disturbs")
{
    const Fleet::TailModel model = trainedModel(19);
    Fleetlet fleet(1);
    Fleet::Task& serving = fleet.add(makeServingStep(1, 6000, "serving"), *fleet.workers[0]);
    serving.ownUtilization = 0.2;
    serving.overTargetSince = testStart;
    Fleet::Task& mild = fleet.make(makeFillingStep(1, 500, "mild"));
    const auto choose = [&](Utils::Duration later) {
        return Fleet::chooseWorker(mild, fleet.pointers, { model }, testStart + later);
    };
    CHECK(choose(1s) == fleet.workers[0].get());
    CHECK(choose(3s) == nullptr);
    serving.overTargetSince = {};
    CHECK(choose(3s) == fleet.workers[0].get());
}

TEST_CASE(
    "When the own load rises, the most disturbing work is slowed down first and harmless work not at all")
{
    const Fleet::TailModel model = trainedModel(14);
    Fleetlet fleet(1);
    Fleet::Worker& worker = *fleet.workers[0];
    fleet.add(makeServingStep(1, 6000, "serving"), worker).ownUtilization = 0.66;
    Fleet::Task& hot = fleet.add(makeFillingStep(1, 4000, "hot"), worker);
    Fleet::Task& mild = fleet.add(makeFillingStep(1, 1000, "mild"), worker);
    const auto changes = Fleet::choosePaces(worker, model, testStart);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].task == &hot);
    CHECK(changes[0].percent < 100);
    CHECK(mild.pace == 100);
}

TEST_CASE("Slowed work gets its speed back once the target is kept with it")
{
    const Fleet::TailModel model = trainedModel(15);
    Fleetlet fleet(1);
    Fleet::Worker& worker = *fleet.workers[0];
    fleet.add(makeServingStep(1, 6000, "serving"), worker).ownUtilization = 0.3;
    fleet.add(makeFillingStep(1, 3000, "hot"), worker).pace = 25;
    const auto changes = Fleet::choosePaces(worker, model, testStart);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].percent == 100);
}

TEST_CASE("A task over its target for long is relieved of all work beside it, whatever the model says")
{
    const Fleet::TailModel model = trainedModel(16);
    Fleetlet fleet(1);
    Fleet::Worker& worker = *fleet.workers[0];
    Fleet::Task& serving = fleet.add(makeServingStep(1, 6000, "serving"), worker);
    serving.ownUtilization = 0.3;
    serving.overTargetSince = testStart;
    fleet.add(makeFillingStep(1, 1000, "mild"), worker);
    CHECK(Fleet::choosePaces(worker, model, testStart + 1s).empty());
    const auto changes = Fleet::choosePaces(worker, model, testStart + 2500ms);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].percent == 0);
}

TEST_CASE("Beyond the processors left over, work waits instead of slowing down what runs")
{
    const Fleet::TailModel model;
    Fleetlet fleet(1);
    for (int number = 0; number < 8; ++number)
        fleet.add(makeFillingStep(1, 4000, "mild"), *fleet.workers[0]);
    CHECK(Fleet::chooseWorker(
              fleet.make(makeFillingStep(1, 4000, "mild")), fleet.pointers, { model }, testStart)
        == nullptr);
}

TEST_CASE("A worker set aside gets one task as a probe, and none that has failed before")
{
    const Fleet::TailModel model;
    Fleetlet fleet(1);
    Fleet::Worker& worker = *fleet.workers[0];
    worker.asideFor = 1s;
    worker.asideUntil = testStart + 1s;
    Fleet::Task& task = fleet.make(makeStep(1, 1000, 500));
    CHECK(Fleet::chooseWorker(task, fleet.pointers, { model }, testStart) == nullptr);
    CHECK(Fleet::chooseWorker(task, fleet.pointers, { model }, testStart + 2s) == &worker);
    task.failures = 1;
    CHECK(Fleet::chooseWorker(task, fleet.pointers, { model }, testStart + 2s) == nullptr);
}

TEST_CASE(
    "Work that disturbs every serving task in reach runs slowed down after a while, sooner in an idle fleet")
{
    const Fleet::TailModel model = trainedModel(17);
    Fleetlet fleet(1);
    Fleet::Worker& worker = *fleet.workers[0];
    fleet.add(makeServingStep(1, 6000, "serving"), worker).ownUtilization = 0.55;
    Fleet::Task& hot = fleet.make(makeFillingStep(1, 4000, "hot"));
    CHECK(Fleet::chooseWorker(hot, fleet.pointers, { model }, testStart) == nullptr);
    hot.waitingSince = testStart;
    CHECK(Fleet::chooseWorker(hot, fleet.pointers, { model }, testStart + 1s) == nullptr);
    CHECK(Fleet::chooseWorker(hot, fleet.pointers, { model }, testStart + 2s) == &worker);
    // A committed serving task uses about half of its processors; short tasks use theirs.
    fleet.add(makeServingStep(1, 8000, "other"), worker).ownUtilization = 0;
    CHECK(Fleet::chooseWorker(hot, fleet.pointers, { model }, testStart + 2s) == &worker);
    fleet.add(makeStep(1, 14'000, 1000), worker);
    CHECK(Fleet::chooseWorker(hot, fleet.pointers, { model }, testStart + 4s) == nullptr);
    CHECK(Fleet::chooseWorker(hot, fleet.pointers, { model }, testStart + 6s) == &worker);
}
