// Replays best-effort work beside latency-critical tasks whose load swings within seconds.

#include "fleetfixtures.h"

#include <fleet/interference.h>
#include <fleet/interferenceview.h>
#include <fleet/sharedload.h>
#include <fleet/stepload.h>
#include <fleet/taillatencymodel.h>
#include <fleet/workerchoice.h>
#include <fleet/workercommitment.h>

#include <catch2/catch.hpp>

#include <cmath>
#include <numbers>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

constexpr double baseTailLatencyMs = 4;
constexpr double meanLoad = 0.43;
constexpr double loadSwing = 0.21;
constexpr double hotPressure = 3;
constexpr double mildPressure = 0.2;
constexpr std::size_t workerCount = 12;
constexpr Utils::Duration measurementInterval = 500ms;

double loadAt(Utils::TimePoint time)
{
    const double seconds = std::chrono::duration<double>(time - testStart).count();
    return meanLoad + loadSwing * std::sin(2 * std::numbers::pi * seconds / 10);
}

// Each worker runs a task of one latency-critical step. Best-effort tasks of the image "hot" run beside a
// quarter of them, of the image "mild" beside another half.
struct SharedLoadFixture {
    SharedLoadFixture()
    {
        Fleet::initializeJob(
            makeJob("service", { makeLatencyCriticalStep(workerCount, 6000, "serving") }), service);
        for (std::size_t number = 0; number < workerCount; ++number) {
            workers.push_back(std::make_unique<Fleet::Worker>());
            Fleet::Worker& worker = *workers.back();
            worker.info = makeWorkerInfo("w" + std::to_string(number));
            worker.isListed = worker.isResponsive = worker.isOwnUtilizationKnown = true;
            worker.clockMs = 1;
            worker.bornMs = worker.info.startedUnixMs;
            pointers.push_back(&worker);
            run(service.tasks[number], worker);
            service.tasks[number].progressPercent = 100;
            if (number % 4 != 3)
                addBestEffort(number % 4 == 0 ? "hot" : "mild", worker);
        }
        model.setOwnUtilizationKnown();
        // Before its users come, a task shows its tail latency without load.
        model.addTailLatency("serving", baseTailLatencyMs);
    }

    static void run(Fleet::Task& task, Fleet::Worker& worker)
    {
        Fleet::addAttempt(task, worker);
        task.worker = &worker;
        task.phase = Fleet::TaskPhase::Running;
    }

    Fleet::Task& makeBestEffortTask(const std::string& image)
    {
        jobs.push_back(std::make_unique<Fleet::Job>());
        Fleet::initializeJob(
            makeJob("j" + std::to_string(jobs.size()), { makeBestEffortStep(1, 2240, image) }), *jobs.back());
        return jobs.back()->tasks[0];
    }

    void addBestEffort(const std::string& image, Fleet::Worker& worker)
    {
        Fleet::Task& task = makeBestEffortTask(image);
        run(task, worker);
        task.reportedLoad = 2240;
    }

    // Reports measurements in whole milliseconds, as workers do.
    void report(Fleet::Worker& worker)
    {
        double utilization = loadAt(now);
        for (const Fleet::Task* task : worker.tasks) {
            if (task->job == &service)
                continue;
            const bool isHot = task->job->step(*task).image() == "hot";
            utilization += (isHot ? hotPressure : mildPressure) * static_cast<double>(task->reportedLoad)
                / static_cast<double>(worker.info.milliProcessors);
        }
        worker.tasks.front()->reportedLoad
            = std::lround(baseTailLatencyMs / (1 - std::min(utilization, 0.98)));
        Fleet::processSharedLoads(worker, model, now);
    }

    // Lets the other workers report after a worker has, and time pass until the next measurements.
    void finishInterval(const Fleet::Worker& reported)
    {
        for (const auto& worker : workers) {
            if (worker.get() != &reported)
                report(*worker);
        }
        now += measurementInterval;
    }

    void play(Utils::Duration duration)
    {
        for (const Utils::TimePoint end = now + duration; now < end; now += measurementInterval) {
            for (const auto& worker : workers)
                report(*worker);
        }
    }

    Fleet::Job service;
    std::vector<std::unique_ptr<Fleet::Job>> jobs;
    std::vector<std::unique_ptr<Fleet::Worker>> workers;
    std::vector<Fleet::Worker*> pointers;
    Fleet::TailLatencyModel model;
    Utils::TimePoint now = testStart;
};

} // namespace

TEST_CASE("Strong and weak interference are told apart within seconds although the load swings by half")
{
    SharedLoadFixture fleet;
    fleet.play(8s);
    CHECK(fleet.model.pressure("serving", "hot") == Approx(hotPressure).margin(0.6));
    CHECK(fleet.model.pressure("serving", "mild") == Approx(mildPressure).margin(0.25));
    CHECK(fleet.model.isPressureKnown("serving", "hot"));
}

TEST_CASE("An overload is not taken for the small pressure that its limited measurements suggest")
{
    SharedLoadFixture fleet;
    fleet.play(8s);
    const double learned = fleet.model.pressure("serving", "hot");
    // Three more tasks on one worker overload it, so its measurements do not grow with what they add.
    for (int count = 0; count < 3; ++count)
        fleet.addBestEffort("hot", *fleet.workers[0]);
    fleet.play(8s);
    CHECK(fleet.model.pressure("serving", "hot") >= learned - 0.2);
}

TEST_CASE("A backlog after an overload is not put down to the tasks that still run")
{
    SharedLoadFixture fleet;
    fleet.play(8s);
    const double learned = fleet.model.pressure("serving", "mild");
    Fleet::Worker& worker = *fleet.workers[1];
    Fleet::Task& critical = *worker.tasks.front();
    for (int round = 0; round < 5; ++round) {
        // What had overloaded the task is gone.
        critical.totalUtilization = 0.98;
        for (const std::int64_t measurement : { 150, 100, 60, 45 }) {
            critical.reportedLoad = measurement;
            Fleet::processSharedLoads(worker, fleet.model, fleet.now);
            fleet.finishInterval(worker);
        }
    }
    CHECK(fleet.model.pressure("serving", "mild") == Approx(learned).margin(0.05));
}

TEST_CASE("What an ended task has added is not put down to those that still run")
{
    SharedLoadFixture fleet;
    fleet.play(8s);
    const double learnedHot = fleet.model.pressure("serving", "hot");
    const double learnedMild = fleet.model.pressure("serving", "mild");
    Fleet::Worker& worker = *fleet.workers[0];
    fleet.addBestEffort("mild", worker);
    Fleet::Task& hot = *worker.tasks[1];
    for (int round = 0; round < 30; ++round) {
        fleet.report(worker);
        fleet.finishInterval(worker);
        // The measurement still contains the hot task, which this report no longer lists.
        hot.reportedLoad = 0;
        Fleet::processSharedLoads(worker, fleet.model, fleet.now);
        fleet.finishInterval(worker);
        // Another one starts in its place.
        hot.reportedLoad = 2240;
        ++hot.attempt;
    }
    CHECK(fleet.model.pressure("serving", "mild") < learnedMild + 0.1);
    CHECK(fleet.model.pressure("serving", "hot") > learnedHot - 0.3);
}

TEST_CASE("A task that is alone in its step still learns, from the mean of a cycle")
{
    SharedLoadFixture fleet;
    for (Utils::TimePoint end = fleet.now + 60s; fleet.now < end; fleet.now += measurementInterval)
        fleet.report(*fleet.workers[0]);
    // Own load and what one neighbour adds all the time cannot be told apart, so nothing may run away.
    CHECK(fleet.model.pressure("serving", "hot") >= 0);
    CHECK(fleet.model.pressure("serving", "hot") < hotPressure + 1);
    CHECK(fleet.workers[0]->tasks.front()->ownUtilization <= 1);
}

TEST_CASE("A disturbing task waits at every point of the load's cycle, a harmless one at none but the peak")
{
    SharedLoadFixture fleet;
    fleet.play(20s);
    Fleet::Task& hot = fleet.makeBestEffortTask("hot");
    Fleet::Task& mild = fleet.makeBestEffortTask("mild");
    // Workers without best-effort tasks only.
    std::vector<Fleet::Worker*> free { fleet.pointers[3], fleet.pointers[7], fleet.pointers[11] };
    int hotChoices = 0;
    int mildChoices = 0;
    for (int step = 0; step < 20; ++step) {
        fleet.play(500ms);
        hotChoices += Fleet::chooseWorker(hot, free, { fleet.model }, fleet.now) != nullptr;
        mildChoices += Fleet::chooseWorker(mild, free, { fleet.model }, fleet.now) != nullptr;
    }
    CHECK(mildChoices >= 18);
    CHECK(hotChoices <= 10);
}

TEST_CASE("A task that has waited takes a worker that bears the mean of what is added, not its variation")
{
    SharedLoadFixture fleet;
    fleet.play(20s);
    Fleet::Task& mild = fleet.makeBestEffortTask("mild");
    mild.waitingSince = fleet.now;
    CHECK(Fleet::searchTermsOf(mild, fleet.pointers, fleet.now).variation == Fleet::pressureVariation);
    CHECK(Fleet::searchTermsOf(mild, fleet.pointers, fleet.now + 700ms).variation == 0);
    // Other fleets are served as before.
    fleet.pointers[0]->isOwnUtilizationKnown = false;
    CHECK(Fleet::searchTermsOf(mild, fleet.pointers, fleet.now).variation == 0);
}

TEST_CASE("Measurements over the target are counted by their cause")
{
    SharedLoadFixture fleet;
    fleet.play(10s);
    fleet.model.takeAccount();
    fleet.workers[3]->tasks.front()->reportedLoad = 30;
    Fleet::processSharedLoads(*fleet.workers[3], fleet.model, fleet.now);
    const Fleet::TailAccount account = fleet.model.takeAccount();
    CHECK(account.measurements == 1);
    CHECK(account.overTarget[static_cast<std::size_t>(Fleet::OverTargetCause::Unexpected)] == 1);
    CHECK(fleet.model.takeAccount().measurements == 0);
}

TEST_CASE("The peak of a step's load is remembered for a cycle and then forgotten")
{
    Fleet::StepLoad load;
    Utils::TimePoint now = testStart;
    for (; now < testStart + 20s; now += 100ms)
        load.add(now, loadAt(now));
    CHECK(load.peak(now) == Approx(meanLoad + loadSwing).margin(0.03));
    CHECK(load.mean() == Approx(meanLoad).margin(0.1));
    for (const Utils::TimePoint end = now + 13s; now < end; now += 100ms)
        load.add(now, 0.2);
    CHECK(load.peak(now) == Approx(0.2).margin(0.02));
}

TEST_CASE("A rising load is expected to go on rising until a changed speed shows, but not without bound")
{
    Fleet::StepLoad load;
    for (Utils::TimePoint now = testStart; now < testStart + 3s; now += 100ms)
        load.add(now, 0.2 + 0.1 * std::chrono::duration<double>(now - testStart).count());
    CHECK(load.soon() > 0.5);
    CHECK(load.soon() < 0.2 + 0.3 + 0.12 + 0.01);
}
