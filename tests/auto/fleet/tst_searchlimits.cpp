// Bounds on the searches of an owner's tick, in shards of the sizes in use and beyond.

#include "fullshardfixture.h"

#include <map>
#include <set>

using namespace std::chrono_literals;
using namespace Testing;

TEST_CASE("An owner is not starved by reports on waiting tasks")
{
    for (const std::size_t workerCount : shardSizes) {
        FullShard shard(workerCount);
        for (int number = 0; number < 30; ++number)
            shard.submit("waiting-" + std::to_string(number), makeStep(1, 9'000, 1000));
        shard.advance(3500ms);
        INFO(workerCount << " workers");
        CHECK_FALSE(shard.output.waits.empty());
        CHECK(shard.mostTickSteps <= shard.tickBound(tasksPerWorker * workerCount + 30));
    }
}

TEST_CASE("A tick searches shards for a bounded number of waiting tasks, and for all of them in turn")
{
    FullShard shard(90);
    for (int number = 0; number < 200; ++number)
        shard.submit("waiting-" + std::to_string(number), makeStep(1, 9'000, 1000));
    shard.advance(1700ms);
    shard.output.shardSearches.clear();
    std::size_t mostSearches = 0;
    for (int tick = 0; tick < 20; ++tick) {
        const std::size_t before = shard.output.shardSearches.size();
        shard.advance(100ms);
        mostSearches = std::max(mostSearches, shard.output.shardSearches.size() - before);
    }
    CHECK(mostSearches <= 32);
    const std::set<std::string> jobs(shard.output.shardSearches.begin(), shard.output.shardSearches.end());
    CHECK(jobs.size() == 200);
}

TEST_CASE("A step that finds no shard does not keep another step of its job from being searched for")
{
    SchedulerFixture fixture(1);
    FleetSchema::StepSpec large = makeStep(1, 31'000, 1000);
    FleetSchema::StepSpec small = makeStep(1, 30'000, 1000);
    fixture.scheduler.submit(makeJob("full", { large }), 1, fixture.now, testStartUnixMs);
    fixture.scheduleAndCommit();
    fixture.confirmStarts();
    FleetSchema::JobSpec job = makeJob("job", { large, small });
    job.mutable_steps(1)->clear_after();
    fixture.scheduler.submit(job, 2, fixture.now, testStartUnixMs);
    fixture.output.shardsBySize[30'000] = "other";
    for (int tick = 0; tick < 30; ++tick) {
        fixture.now += 100ms;
        fixture.finishAttempts(0, Ports::AttemptOutcome::Done);
        fixture.scheduler.onTick(fixture.now, testStartUnixMs);
        fixture.scheduleAndCommit();
    }
    REQUIRE_FALSE(fixture.output.delegations.empty());
    CHECK(fixture.output.delegations.front().step() == 1);
}

namespace {

/*! A shard in which each worker has a latency-critical task over its target beside best-effort tasks. */
struct DisturbedShard : SchedulerFixture {
    static constexpr std::size_t fillingPerWorker = 3;

    explicit DisturbedShard(std::size_t workerCount)
        : SchedulerFixture(workerCount)
    {
        for (std::size_t number = 0; number < workerCount; ++number) {
            submit("serving-" + std::to_string(number), makeLatencyCriticalStep(1, 20'000, "serving"));
            submit("filling-" + std::to_string(number),
                makeBestEffortStep(static_cast<std::uint32_t>(fillingPerWorker), 2'000, "filling"));
        }
        startAll();
    }

    void submit(const std::string& job, const FleetSchema::StepSpec& step)
    {
        scheduler.submit(makeJob(job, { step }), 1, now, testStartUnixMs);
    }

    void startAll()
    {
        while (scheduleAndCommit() || scheduler.isSweepUnfinished())
            confirmStarts();
    }

    /*! Reports all tasks, the latency-critical ones over their target. */
    void reportAll()
    {
        std::map<std::string, Ports::WorkerReport> reports;
        for (const Fleet::AttemptStart& attempt : running) {
            const bool isServing = attempt.task.job.starts_with("serving");
            reports[attempt.worker].running.push_back(
                { attempt.task, attempt.attempt, {}, isServing ? 100 : 20, isServing ? 1000 : 2000 });
        }
        for (const auto& [worker, content] : reports)
            report(worker, content);
    }
};

} // namespace

TEST_CASE("An owner is not starved by searches for workers for throttled tasks")
{
    for (const std::size_t workerCount : shardSizes) {
        DisturbedShard shard(workerCount);
        REQUIRE(shard.running.size() == workerCount * (1 + DisturbedShard::fillingPerWorker));
        std::size_t mostSteps = 0;
        for (int tick = 0; tick < 35; ++tick) {
            shard.now += 100ms;
            shard.reportAll();
            shard.scheduler.onTick(shard.now, testStartUnixMs);
            mostSteps = std::max(mostSteps, shard.scheduler.latestPass().spent(Fleet::StepKind::Slowness));
        }
        INFO(workerCount << " workers");
        CHECK_FALSE(shard.output.throttles.empty());
        CHECK(mostSteps > 0);
        // The search that exceeds the limit, and those for the other tasks of its worker.
        CHECK(mostSteps <= 25'000 + DisturbedShard::fillingPerWorker * workerCount * 5);
    }
}

TEST_CASE("An owner is not starved by the search for latency-critical tasks to move")
{
    for (const std::size_t workerCount : shardSizes) {
        SchedulerFixture shard(workerCount);
        // One task of each image on each worker.
        for (int image = 0; image < 8; ++image) {
            const std::string name = "image-" + std::to_string(image);
            for (std::size_t first = 0; first < workerCount; first += maxTasks) {
                const std::size_t count = std::min(workerCount - first, maxTasks);
                FleetSchema::StepSpec step
                    = makeLatencyCriticalStep(static_cast<std::uint32_t>(count), 3'000, name);
                step.set_max_per_worker(1);
                shard.scheduler.submit(
                    makeJob(name + "-" + std::to_string(first), { step }), 1, shard.now, testStartUnixMs);
            }
        }
        while (shard.scheduleAndCommit() || shard.scheduler.isSweepUnfinished())
            shard.confirmStarts();
        std::size_t mostSteps = 0;
        for (int tick = 0; tick < 20; ++tick) {
            shard.now += 500ms;
            std::map<std::string, Ports::WorkerReport> reports;
            for (const Fleet::AttemptStart& attempt : shard.running)
                reports[attempt.worker].running.push_back({ attempt.task, attempt.attempt, {}, 100, 5 });
            for (const auto& [worker, content] : reports)
                shard.report(worker, content);
            shard.scheduler.onTick(shard.now, testStartUnixMs);
            mostSteps = std::max(mostSteps, shard.scheduler.latestPass().spent(Fleet::StepKind::Grouping));
        }
        INFO(workerCount << " workers");
        CHECK(mostSteps > 0);
        CHECK(mostSteps <= 25'000 + 2 * workerCount);
    }
}

TEST_CASE("Many steps that find no shard do not keep others from being searched for")
{
    for (const bool areLasting : { true, false }) {
        FullShard shard(90);
        FleetSchema::JobSpec wide = makeJob("a-wide", {});
        for (int number = 0; number < 100; ++number) {
            *wide.add_steps() = makeStep(1, 9'000 + number, 1000);
            wide.mutable_steps(number)->set_lasting(areLasting);
        }
        shard.scheduler.submit(wide, 1, shard.now, testStartUnixMs);
        shard.submit("other", makeStep(1, 8'000, 1000));
        shard.output.shardsBySize[9'099] = "host";
        shard.advance(3s);
        INFO((areLasting ? "lasting" : "ending"));
        const auto& searches = shard.output.shardSearches;
        CHECK(std::find(searches.begin(), searches.end(), "other") != searches.end());
        REQUIRE_FALSE(shard.output.delegations.empty());
        CHECK(shard.output.delegations.front().step() == 99);
    }
}

TEST_CASE("Many tasks for which another shard has room are passed on before they have waited for long")
{
    FullShard shard(90);
    FleetSchema::StepSpec lasting = makeStep(maxTasks, 9'000, 1000);
    lasting.set_lasting(true);
    shard.submit("lasting", lasting);
    shard.output.shardWithCapacity = "host";
    // A task that lasts may wait for 3 s, the start in the other shard included.
    shard.advance(2500ms);
    CHECK(shard.output.delegations.size() == maxTasks);
}
