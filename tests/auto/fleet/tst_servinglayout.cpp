#include "fleetfixtures.h"

#include <fleet/imagedemand.h>
#include <fleet/interferenceview.h>
#include <fleet/servinglayout.h>
#include <fleet/workerchoice.h>
#include <fleet/workercommitment.h>

#include <catch2/catch.hpp>

#include <random>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

constexpr double baseTailMs = 5;

// Two kinds of serving images: "one" and "two" are disturbed by "red" work, "three" by "blue" work.
double truePressure(const std::string& serving, const std::string& beside)
{
    const bool isRed = beside == "red";
    return (serving == "three") != isRed ? 1.4 : 0.05;
}

void train(Fleet::TailModel& model, unsigned seed, int samples)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> own(0.1, 0.5);
    std::uniform_real_distribution<double> share(0.0, 0.2);
    for (int sample = 0; sample < samples; ++sample) {
        for (const char* serving : { "one", "two", "three" }) {
            const std::vector<Fleet::ImageShare> beside { { "red", share(random) },
                { "blue", share(random) } };
            double utilization = own(random);
            for (const Fleet::ImageShare& part : beside)
                utilization += part.share * truePressure(serving, std::string(part.image));
            model.learn(serving, beside, baseTailMs / (1 - std::min(utilization, 0.98)));
        }
    }
}

struct Layout {
    Layout()
    {
        demand.add("red", 1000);
        demand.add("blue", 1000);
        demand.finish();
        for (int number = 0; number < 3; ++number) {
            workers.push_back(std::make_unique<Fleet::Worker>());
            workers.back()->info = makeWorkerInfo("w" + std::to_string(number));
            workers.back()->isListed = true;
            workers.back()->isAnswering = true;
            workers.back()->clockMs = 1;
            pointers.push_back(workers.back().get());
        }
    }

    Fleet::Task& make(const std::string& image)
    {
        jobs.push_back(std::make_unique<Fleet::Job>());
        Fleet::initializeJob(
            makeJob("j" + std::to_string(jobs.size()), { makeServingStep(1, 5000, image) }), *jobs.back());
        return jobs.back()->tasks[0];
    }

    Fleet::Task& run(const std::string& image, std::size_t worker)
    {
        Fleet::Task& task = make(image);
        Fleet::addAttempt(task, *workers[worker]);
        task.worker = workers[worker].get();
        task.phase = Fleet::TaskPhase::Running;
        task.percent = 100;
        task.startedAt = testStart - 60s;
        return task;
    }

    Fleet::InterferenceView view() const { return { model, demand.shares() }; }

    Fleet::Regrouping regroup(std::size_t source) const
    {
        return Fleet::chooseRegrouping(*workers[source], pointers, view(), 5s, testStart);
    }

    Fleet::Regrouping consolidate() const
    {
        return Fleet::chooseConsolidation(pointers, view(), 5s, testStart);
    }

    /*! Moves a serving task as if it had been stopped and started again. */
    void carryOut(const Fleet::Regrouping& move)
    {
        Fleet::removeAttempt(*move.task, *move.task->worker);
        Fleet::addAttempt(*move.task, *move.target);
        move.task->worker = move.target;
    }

    /*! Places work for leftover processors until no worker takes more. */
    std::size_t place(const std::string& image)
    {
        std::size_t placed = 0;
        while (true) {
            jobs.push_back(std::make_unique<Fleet::Job>());
            Fleet::initializeJob(
                makeJob("f" + std::to_string(jobs.size()), { makeFillingStep(1, 4000, image) }),
                *jobs.back());
            Fleet::Task& task = jobs.back()->tasks[0];
            for (Fleet::Worker* worker : pointers)
                worker->openness = Fleet::opennessOf(*worker, view());
            Fleet::Worker* const worker = Fleet::chooseWorker(task, pointers, view(), testStart);
            if (!worker)
                return placed;
            Fleet::addAttempt(task, *worker);
            task.worker = worker;
            ++placed;
        }
    }

    Fleet::TailModel model;
    Fleet::ImageDemand demand;
    std::vector<std::unique_ptr<Fleet::Worker>> workers;
    std::vector<Fleet::Worker*> pointers;
    std::vector<std::unique_ptr<Fleet::Job>> jobs;
};

} // namespace

TEST_CASE("A serving task among unlike ones moves to those that the same work disturbs")
{
    Layout layout;
    train(layout.model, 21, 600);
    layout.run("one", 0);
    layout.run("two", 0);
    Fleet::Task& odd = layout.run("three", 0);
    layout.run("three", 1);
    const Fleet::Regrouping move = layout.regroup(0);
    CHECK(move.task == &odd);
    CHECK(move.target == layout.workers[1].get());
    CHECK(layout.regroup(1).task == nullptr);
}

TEST_CASE("Images that the same work disturbs stay together, and nothing moves before it is known")
{
    Layout layout;
    layout.run("one", 0);
    layout.run("three", 0);
    CHECK(layout.regroup(0).task == nullptr);
    train(layout.model, 22, 600);
    CHECK(layout.regroup(0).task != nullptr);
    Layout alike;
    train(alike.model, 23, 600);
    alike.run("one", 0);
    alike.run("two", 0);
    CHECK(alike.regroup(0).task == nullptr);
}

TEST_CASE("A move for like sensitivity keeps to the disruption budget of the step")
{
    Layout layout;
    train(layout.model, 24, 600);
    layout.run("one", 0);
    layout.run("one", 0);
    layout.run("three", 0);
    layout.run("three", 1);
    for (const auto& job : layout.jobs) {
        job->spec.mutable_steps(0)->set_has_disruption_budget(true);
        job->spec.mutable_steps(0)->set_disruption_budget(0);
    }
    CHECK(layout.regroup(0).task == nullptr);
}

TEST_CASE("A flood of lasting tasks of several images fills workers by image and leaves others free")
{
    Layout layout;
    for (const char* image : { "one", "two", "one", "two", "one", "two" }) {
        Fleet::Task& task = layout.make(image);
        Fleet::Worker* worker = Fleet::chooseWorker(task, layout.pointers, layout.view(), testStart);
        REQUIRE(worker);
        Fleet::addAttempt(task, *worker);
        task.worker = worker;
    }
    std::size_t unused = 0;
    for (const Fleet::Worker* worker : layout.pointers) {
        unused += worker->tasks.empty() ? 1 : 0;
        for (const Fleet::Task* task : worker->tasks)
            CHECK(task->job->spec.steps(0).image() == worker->tasks[0]->job->spec.steps(0).image());
    }
    CHECK(unused == 1);
}

TEST_CASE("A node that takes a shard over goes by what others have learnt")
{
    Fleet::TailModel experienced;
    train(experienced, 25, 600);
    Fleet::TailModel fresh;
    CHECK_FALSE(fresh.isKnown("one", "red"));
    const std::vector<FleetSchema::TailKnowledge> others { experienced.knowledge() };
    fresh.setOthers(others);
    CHECK(fresh.isKnown("one", "red"));
    CHECK(fresh.pressure("one", "red") == Approx(1.4).margin(0.4));
    CHECK(fresh.pressure("three", "red") < 0.4);
    CHECK(fresh.limit("one", 18) == Approx(experienced.limit("one", 18)));
}

TEST_CASE("A restarted node goes on from what it had learnt, and what is new outweighs it in time")
{
    Fleet::TailModel former;
    train(former, 26, 600);
    Fleet::TailModel model;
    model.resume(former.knowledge());
    CHECK(model.pressure("one", "red") == Approx(former.pressure("one", "red")).epsilon(0.01));
    CHECK(model.limit("one", 18) == Approx(former.limit("one", 18)));
    train(model, 27, 300);
    CHECK(model.pressure("one", "red") == Approx(1.4).margin(0.4));
}

TEST_CASE("Little seen here yields to much seen elsewhere")
{
    Fleet::TailModel experienced;
    train(experienced, 28, 600);
    Fleet::TailModel model;
    train(model, 29, 3);
    const std::vector<FleetSchema::TailKnowledge> others { experienced.knowledge() };
    model.setOthers(others);
    CHECK(model.pressure("one", "red") == Approx(experienced.pressure("one", "red")).margin(0.15));
}

TEST_CASE("Work that disturbs finds a free worker after serving tasks that are thinly spread were gathered")
{
    const auto spread = [](Layout& layout) {
        train(layout.model, 30, 600);
        for (std::size_t worker = 0; worker < 3; ++worker) {
            for (std::size_t count = 0; count <= worker; ++count)
                layout.run("one", worker).ownUtilization = 0.7;
        }
    };
    Layout unchanged;
    spread(unchanged);
    CHECK(unchanged.place("red") == 0);

    Layout gathered;
    spread(gathered);
    const Fleet::Regrouping move = gathered.consolidate();
    REQUIRE(move.task);
    CHECK(move.task->worker == gathered.workers[0].get());
    gathered.carryOut(move);
    CHECK(gathered.workers[0]->servingTasks == 0);
    CHECK(gathered.place("red") >= 4);
    for (const Fleet::Task* task : gathered.workers[0]->tasks)
        CHECK(task->job->spec.steps(0).image() == "red");
}

TEST_CASE("Serving tasks are not gathered where the others have no room for them, or within the budget")
{
    Layout full;
    train(full.model, 31, 600);
    full.run("one", 0);
    full.run("one", 1);
    full.run("one", 1);
    for (std::size_t worker = 1; worker < 3; ++worker)
        full.workers[worker]->used.milliProcessors = full.workers[worker]->info.milliProcessors;
    CHECK(full.consolidate().task == nullptr);

    Layout bound;
    train(bound.model, 32, 600);
    bound.run("one", 0);
    bound.run("one", 1);
    bound.run("one", 1);
    REQUIRE(bound.consolidate().task != nullptr);
    for (const auto& job : bound.jobs) {
        job->spec.mutable_steps(0)->set_has_disruption_budget(true);
        job->spec.mutable_steps(0)->set_disruption_budget(0);
    }
    CHECK(bound.consolidate().task == nullptr);
}

TEST_CASE("Work that does not disturb leaves free workers to work that does")
{
    Layout layout;
    train(layout.model, 33, 600);
    layout.run("one", 0);
    layout.run("one", 1);
    CHECK(Fleet::opennessOf(*layout.workers[0], layout.view()) < 0.7);
    CHECK(Fleet::opennessOf(*layout.workers[2], layout.view()) == 1);
    Fleet::Job job;
    Fleet::initializeJob(makeJob("blue", { makeFillingStep(1, 4000, "blue") }), job);
    for (Fleet::Worker* worker : layout.pointers)
        worker->openness = Fleet::opennessOf(*worker, layout.view());
    const Fleet::Worker* const worker
        = Fleet::chooseWorker(job.tasks[0], layout.pointers, layout.view(), testStart);
    REQUIRE(worker);
    CHECK(worker->servingTasks > 0);
}
