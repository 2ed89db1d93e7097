// Decisions of a scheduling pass of an overloaded shard: what is skipped or cached must not change them.

#include "fleetfixtures.h"

#include <fleet/failedsearches.h>
#include <fleet/interference.h>
#include <fleet/interferencecache.h>
#include <fleet/interferenceview.h>
#include <fleet/relocationsearch.h>
#include <fleet/stepbudget.h>
#include <fleet/taskgrouping.h>
#include <fleet/workerchoice.h>
#include <fleet/workercommitment.h>
#include <fleet/workerranking.h>

#include <catch2/catch.hpp>

#include <random>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

const std::vector<std::string> servingImages { "api", "search", "feed" };
const std::vector<std::string> fillingImages { "hot", "warm", "mild", "cold" };

Fleet::TailLatencyModel trainedModel(std::mt19937& random)
{
    Fleet::TailLatencyModel model;
    std::uniform_real_distribution<double> share(0.0, 0.15);
    for (int sample = 0; sample < 300; ++sample) {
        std::vector<Fleet::ImageShare> colocated;
        double utilization = 0.3;
        for (std::size_t image = 0; image < fillingImages.size(); ++image) {
            colocated.push_back({ fillingImages[image], share(random) });
            utilization += colocated.back().share * 1.5 / static_cast<double>(1 + image);
        }
        for (const std::string& serving : servingImages)
            model.addSample(serving, colocated, 4 / (1 - std::min(0.95, utilization)));
    }
    return model;
}

/*! Workers with serving and filling tasks, close to full. */
struct BusyShard {
    explicit BusyShard(unsigned seed)
        : random(seed)
        , model(trainedModel(random))
    {
        for (int number = 0; number < 24; ++number) {
            workers.push_back(std::make_unique<Fleet::Worker>());
            Fleet::Worker& worker = *workers.back();
            worker.info = makeWorkerInfo("w" + std::to_string(number));
            worker.info.address = "127.0.0.1:" + std::to_string(number / 2);
            worker.isListed = true;
            worker.isResponsive = true;
            worker.clockMs = 1;
            worker.bornMs = worker.info.startedUnixMs;
            pointers.push_back(&worker);
            for (int task = pick(0, 4); task > 0; --task)
                run(makeLatencyCriticalStep(1, pick(2000, 6000), servingImages[pick(0, 2)]), worker);
            for (int task = pick(0, 5); task > 0; --task)
                run(makeBestEffortStep(1, pick(1000, 5000), fillingImages[pick(0, 3)]), worker);
            if (pick(0, 5) == 0)
                worker.quarantineTime = 1s;
            worker.toleratedDemand = pick(0, 10) / 10.0;
        }
    }

    int pick(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); }

    Fleet::Task& makeTask(const FleetSchema::StepSpec& step)
    {
        jobs.push_back(std::make_unique<Fleet::Job>());
        Fleet::initializeJob(makeJob("j" + std::to_string(jobs.size()), { step }), *jobs.back());
        return jobs.back()->tasks[0];
    }

    void run(const FleetSchema::StepSpec& step, Fleet::Worker& worker)
    {
        Fleet::Task& task = makeTask(step);
        Fleet::addAttempt(task, worker);
        task.worker = &worker;
        task.phase = Fleet::TaskPhase::Running;
        task.speedPercent = pick(0, 4) * 25;
        task.ownUtilization = pick(20, 60) / 100.0;
        if (pick(0, 9) == 0)
            task.overTargetSince = now - 5s;
    }

    Fleet::Task& makeWaitingTask()
    {
        const bool isFilling = pick(0, 2) > 0;
        FleetSchema::StepSpec step = isFilling
            ? makeBestEffortStep(1, pick(1000, 9000), fillingImages[pick(0, 3)])
            : makeStep(1, pick(4000, 32000), 1000);
        step.set_memory_mb(1000 * std::int64_t { pick(0, 3) });
        if (pick(0, 7) == 0)
            step.set_max_per_worker(1);
        Fleet::Task& task = makeTask(step);
        task.failures = static_cast<std::uint32_t>(pick(0, 4) == 0 ? 1 : 0);
        task.waitingSince = now - pick(0, 10) * 1s;
        return task;
    }

    std::mt19937 random;
    Utils::TimePoint now = testStart;
    Fleet::TailLatencyModel model;
    std::vector<std::unique_ptr<Fleet::Worker>> workers;
    std::vector<Fleet::Worker*> pointers;
    std::vector<std::unique_ptr<Fleet::Job>> jobs;
    std::vector<Fleet::ImageShare> demand { { "hot", 0.4 }, { "warm", 0.3 }, { "mild", 0.3 } };
};

} // namespace

TEST_CASE("A pass with cached estimates and skipped searches chooses the same workers as one without")
{
    std::size_t skipped = 0;
    std::size_t placed = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        BusyShard shard(seed);
        Fleet::InterferenceCache cache(shard.model);
        const Fleet::InterferenceView cached { shard.model, shard.demand, &cache };
        const Fleet::InterferenceView direct { shard.model, shard.demand };
        Fleet::FailedSearches failedSearches;
        for (int number = 0; number < 150; ++number) {
            Fleet::Task& task = shard.makeWaitingTask();
            Fleet::Worker* const expected = Fleet::chooseWorker(task, shard.pointers, direct, shard.now);
            if (failedSearches.includes(task, shard.pointers, shard.now)) {
                ++skipped;
                REQUIRE(expected == nullptr);
                continue;
            }
            REQUIRE(Fleet::chooseWorker(task, shard.pointers, cached, shard.now) == expected);
            if (!expected) {
                failedSearches.add(task, shard.pointers, shard.now);
                continue;
            }
            ++placed;
            Fleet::addAttempt(task, *expected);
            cache.invalidate(*expected);
            task.worker = expected;
            task.phase = Fleet::TaskPhase::Recorded;
        }
    }
    CHECK(placed > 200);
    CHECK(skipped > 500);
}

TEST_CASE("A pass over steps of several tasks skips only tasks for which no worker would be found")
{
    std::size_t skipped = 0;
    std::size_t placedAfterSibling = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        BusyShard shard(seed);
        Fleet::FailedSearches failedSearches;
        const Fleet::InterferenceView view { shard.model, shard.demand };
        for (int number = 0; number < 60; ++number) {
            FleetSchema::StepSpec step = shard.makeWaitingTask().job->spec.steps(0);
            step.set_count(static_cast<std::uint32_t>(shard.pick(1, 6)));
            shard.makeTask(step);
            for (Fleet::Task& task : shard.jobs.back()->tasks) {
                task.failures = shard.pick(0, 2) == 0 ? 1 : 0;
                task.crashes = static_cast<std::uint32_t>(std::max(0, shard.pick(-8, 3)));
                task.waitingSince = shard.now - shard.pick(0, 4) * 2500ms;
            }
            bool hasFailed = false;
            for (Fleet::Task& task : shard.jobs.back()->tasks) {
                Fleet::Worker* const expected = Fleet::chooseWorker(task, shard.pointers, view, shard.now);
                if (failedSearches.includes(task, shard.pointers, shard.now)) {
                    ++skipped;
                    REQUIRE(expected == nullptr);
                } else if (!expected) {
                    failedSearches.add(task, shard.pointers, shard.now);
                    hasFailed = true;
                } else {
                    placedAfterSibling += hasFailed ? 1 : 0;
                    Fleet::addAttempt(task, *expected);
                    task.worker = expected;
                    task.phase = Fleet::TaskPhase::Recorded;
                }
            }
        }
    }
    CHECK(placedAfterSibling > 50);
    CHECK(skipped > 1000);
}

TEST_CASE("A pass that also has long-running tasks skips only those for which no worker would be found")
{
    std::size_t skipped = 0;
    std::size_t placed = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        BusyShard shard(seed);
        for (Fleet::Worker* worker : shard.pointers)
            worker->reservedMilliProcessors = shard.pick(0, 2) == 0 ? 1000 * shard.pick(1, 12) : 0;
        Fleet::FailedSearches failedSearches;
        const Fleet::InterferenceView view { shard.model, shard.demand };
        for (int number = 0; number < 100; ++number) {
            FleetSchema::StepSpec step = shard.makeWaitingTask().job->spec.steps(0);
            step.set_count(static_cast<std::uint32_t>(shard.pick(1, 3)));
            if (!step.leftover_processors())
                step.set_lasting(shard.pick(0, 1) == 0);
            shard.makeTask(step);
            for (Fleet::Task& task : shard.jobs.back()->tasks) {
                Fleet::Worker* const expected = Fleet::chooseWorker(task, shard.pointers, view, shard.now);
                if (failedSearches.includes(task, shard.pointers, shard.now)) {
                    ++skipped;
                    REQUIRE(expected == nullptr);
                } else if (!expected) {
                    failedSearches.add(task, shard.pointers, shard.now);
                } else {
                    ++placed;
                    Fleet::addAttempt(task, *expected);
                    task.worker = expected;
                    task.phase = Fleet::TaskPhase::Recorded;
                }
            }
        }
    }
    CHECK(placed > 500);
    CHECK(skipped > 1000);
}

TEST_CASE("Ranked workers are those that separate searches choose")
{
    std::size_t placed = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        BusyShard shard(seed);
        Fleet::InterferenceCache cache(shard.model);
        const Fleet::InterferenceView view { shard.model, shard.demand, &cache };
        Fleet::WorkerRanking ranking(shard.pointers);
        for (int number = 0; number < 40; ++number) {
            FleetSchema::StepSpec step = shard.makeWaitingTask().job->spec.steps(0);
            step.set_count(static_cast<std::uint32_t>(shard.pick(1, 12)));
            step.set_gang(shard.pick(0, 3) == 0);
            shard.makeTask(step);
            for (Fleet::Task& task : shard.jobs.back()->tasks) {
                task.failures = shard.pick(0, 4) == 0 ? 1 : 0;
                task.crashes = static_cast<std::uint32_t>(std::max(0, shard.pick(-9, 2)));
                task.waitingSince = shard.now - shard.pick(0, 1) * 2500ms;
                if (shard.pick(0, 5) == 0)
                    task.avoidedWorker = "w" + std::to_string(shard.pick(0, 23));
                if (task.crashes > 0)
                    task.crashedAddress
                        = shard.pointers[static_cast<std::size_t>(shard.pick(0, 23))]->info.address;
                Fleet::Worker* const expected = Fleet::chooseWorker(task, shard.pointers, view, shard.now);
                REQUIRE(ranking.choose(task, view, shard.now) == expected);
                if (!expected)
                    continue;
                ++placed;
                Fleet::addAttempt(task, *expected);
                cache.invalidate(*expected);
                ranking.onTasksChanged(*expected);
                task.worker = expected;
                task.phase = Fleet::TaskPhase::Recorded;
            }
        }
    }
    CHECK(placed > 1000);
}

TEST_CASE("The tasks of one wide step do not use up the memory of a pass")
{
    BusyShard shard(8);
    shard.makeTask(makeStep(200, 31'000, 1000));
    Fleet::FailedSearches failedSearches;
    for (const Fleet::Task& task : shard.jobs.back()->tasks)
        failedSearches.add(task, shard.pointers, shard.now);
    failedSearches.add(shard.makeTask(makeStep(1, 30'000, 1000)), shard.pointers, shard.now);
    CHECK(failedSearches.includes(shard.makeTask(makeStep(1, 30'500, 1000)), shard.pointers, shard.now));
}

TEST_CASE("Cached estimates equal those of the model")
{
    BusyShard shard(3);
    Fleet::InterferenceCache cache(shard.model);
    const Fleet::InterferenceView cached { shard.model, shard.demand, &cache };
    const Fleet::InterferenceView direct { shard.model, shard.demand };
    for (const Fleet::Worker* worker : shard.pointers) {
        CHECK(Fleet::toleratedDemandShare(*worker, cached)
            == Approx(Fleet::toleratedDemandShare(*worker, direct)));
        for (const std::string& image : fillingImages) {
            const FleetSchema::StepSpec step = makeBestEffortStep(1, 4000, image);
            for (const double speed : { 0.0, 0.25, 1.0 })
                CHECK(cache.headroomAfterAdding(*worker, step, speed)
                    == Approx(Fleet::headroomAfterAdding(*worker, step, shard.model, speed)));
        }
    }
    for (const std::string& first : servingImages) {
        for (const std::string& second : servingImages)
            CHECK(Fleet::sensitivityDistance(first, second, cached)
                == Approx(Fleet::sensitivityDistance(first, second, direct)));
    }
}

TEST_CASE("A smaller task, another image or an older wait is searched for after a failed search")
{
    BusyShard shard(5);
    Fleet::FailedSearches failedSearches;
    Fleet::Task& failed = shard.makeTask(makeBestEffortStep(1, 4000, "hot"));
    failedSearches.add(failed, shard.pointers, shard.now);
    const auto includes = [&](const FleetSchema::StepSpec& step) {
        return failedSearches.includes(shard.makeTask(step), shard.pointers, shard.now);
    };
    CHECK(includes(makeBestEffortStep(1, 4000, "hot")));
    CHECK(includes(makeBestEffortStep(1, 5000, "hot")));
    CHECK_FALSE(includes(makeBestEffortStep(1, 3999, "hot")));
    CHECK_FALSE(includes(makeBestEffortStep(1, 4000, "warm")));
    CHECK_FALSE(includes(makeStep(1, 4000, 1000)));
    Fleet::Task& older = shard.makeTask(makeBestEffortStep(1, 4000, "hot"));
    older.waitingSince = shard.now - 9s;
    CHECK_FALSE(failedSearches.includes(older, shard.pointers, shard.now));
}

TEST_CASE("Tasks of a job that crashed a worker are always searched for")
{
    BusyShard shard(6);
    Fleet::FailedSearches failedSearches;
    Fleet::Task& failed = shard.makeTask(makeStep(1, 4000, 1000));
    failedSearches.add(failed, shard.pointers, shard.now);
    Fleet::Task& suspect = shard.makeTask(makeStep(1, 4000, 1000));
    suspect.crashes = 1;
    CHECK_FALSE(failedSearches.includes(suspect, shard.pointers, shard.now));
    Fleet::FailedSearches others;
    others.add(suspect, shard.pointers, shard.now);
    CHECK_FALSE(others.includes(failed, shard.pointers, shard.now));
}

TEST_CASE("A failed search says nothing about tasks of the step that have to avoid fewer workers")
{
    BusyShard shard(7);
    shard.makeTask(makeStep(3, 4000, 1000));
    std::vector<Fleet::Task>& tasks = shard.jobs.back()->tasks;
    tasks[0].crashes = 2;
    tasks[1].crashes = 2;
    Fleet::FailedSearches failedSearches;
    failedSearches.add(tasks[0], shard.pointers, shard.now);
    CHECK(failedSearches.includes(tasks[1], shard.pointers, shard.now));
    CHECK_FALSE(failedSearches.includes(tasks[2], shard.pointers, shard.now));
    failedSearches.add(tasks[2], shard.pointers, shard.now);
    CHECK(failedSearches.includes(tasks[1], shard.pointers, shard.now));
}

TEST_CASE("A move that helps is found wherever the limit on the steps interrupts the search for it")
{
    BusyShard shard(1);
    const auto runLasting = [&](std::int64_t size, Fleet::Worker& worker) {
        FleetSchema::StepSpec step = makeStep(1, size, 0);
        step.set_lasting(true);
        Fleet::Task& task = shard.makeTask(step);
        Fleet::addAttempt(task, worker);
        task.worker = &worker;
        task.phase = Fleet::TaskPhase::Running;
        return &task;
    };
    // Only the largest task of one worker can move, and only to the last worker.
    for (Fleet::Worker* worker : shard.pointers) {
        worker->quarantineTime = {};
        for (Fleet::Task* task : std::vector<Fleet::Task*>(worker->tasks))
            Fleet::removeAttempt(*task, *worker);
    }
    std::sort(shard.pointers.begin(), shard.pointers.end(),
        [](const Fleet::Worker* left, const Fleet::Worker* right) { return left->info.id < right->info.id; });
    // Beside the first worker, the search for another task takes most of the steps of the first call.
    const std::size_t sourcePosition = GENERATE(std::size_t { 0 }, std::size_t { 11 });
    Fleet::Task* expected = nullptr;
    for (std::size_t position = 0; position < shard.pointers.size(); ++position) {
        Fleet::Worker& worker = *shard.pointers[position];
        const bool isSource = position == sourcePosition;
        for (int number = 0; number < (isSource ? 6 : 8); ++number)
            runLasting(4'000, worker)->phase
                = isSource ? Fleet::TaskPhase::Running : Fleet::TaskPhase::Stopping;
        if (isSource)
            expected = runLasting(8'000, worker);
    }
    Fleet::Worker& target = *shard.pointers.back();
    for (int number = 0; number < 2; ++number)
        Fleet::removeAttempt(*target.tasks.back(), target);
    FleetSchema::StepSpec step = makeStep(1, 6'000, 0);
    step.set_lasting(true);
    step.set_max_per_worker(1);
    // It may not run on the target.
    step.set_required_label("special");
    for (std::size_t position = 0; position + 1 < shard.pointers.size(); ++position)
        shard.pointers[position]->info.labels.emplace_back("special");
    std::vector<Fleet::Task*> waiting { &shard.makeTask(step) };
    if (sourcePosition == 0) {
        step.set_milli_processors(40'000);
        waiting.insert(waiting.begin(), &shard.makeTask(step));
    }
    for (std::size_t limit = 60; limit <= 500; ++limit) {
        Fleet::RelocationSearch search;
        Fleet::Task* moved = nullptr;
        for (int call = 0; call < 40 && !moved; ++call) {
            Fleet::StepBudget steps(limit);
            // That of the current task comes first, as in a pass.
            std::vector<Fleet::Task*> ordered = waiting;
            if (const auto current = search.current())
                std::stable_partition(ordered.begin(), ordered.end(),
                    [&](const Fleet::Task* task) { return Fleet::keyOf(*task) == *current; });
            moved = search.search(ordered, shard.pointers, 0s, shard.now, steps);
        }
        INFO(limit << " steps");
        CHECK(moved == expected);
    }
}
