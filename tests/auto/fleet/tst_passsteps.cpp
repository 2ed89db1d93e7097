// Bounds on what one pass of an owner examines, in shards of the sizes in use and beyond.

#include "fleetfixtures.h"

#include <fleet/stepbudget.h>

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

constexpr std::size_t shardSizes[] = { 90, 540, 2000 };
constexpr std::size_t tasksPerWorker = 4;
constexpr std::size_t maxTasks = Fleet::maxTasksPerJob;
// Steps of a pass after which it is left.
constexpr std::size_t passLimit = 100'000;

/*! A shard whose workers are full of long-running tasks, too full for any of them to move. */
struct FullShard : SchedulerFixture {
    explicit FullShard(std::size_t workerCount)
        : SchedulerFixture(workerCount)
    {
        FleetSchema::StepSpec step = makeStep(0, 7'000, 1000);
        step.set_lasting(true);
        for (std::size_t job = 0; job < tasksPerWorker; ++job) {
            for (std::size_t first = 0; first < workerCount; first += maxTasks) {
                step.set_count(
                    static_cast<std::uint32_t>(std::min<std::size_t>(workerCount - first, maxTasks)));
                submit("full-" + std::to_string(job) + "-" + std::to_string(first), step);
            }
        }
        while (scheduleAndCommit())
            confirmStarts();
        REQUIRE(running.size() == tasksPerWorker * workerCount);
    }

    void submit(const std::string& job, const FleetSchema::StepSpec& step)
    {
        scheduler.submit(makeJob(job, { step }), 1, now, testStartUnixMs);
    }

    /*! Runs a pass. */
    void runPass()
    {
        scheduleAndCommit();
        noteSteps();
        confirmStarts();
    }

    /*! Submits jobs of one task each that is larger than any free capacity, each smaller than the one before.
     */
    void submitShrinkingTasks(std::size_t count, std::int32_t priority = 0)
    {
        for (std::size_t number = 0; number < count; ++number) {
            now += 1ms;
            FleetSchema::JobSpec job = makeJob(
                "waiting-" + std::to_string(number), { makeStep(1, 9'000 - std::int64_t(number), 1000) });
            job.set_priority(priority);
            scheduler.submit(job, 1, now, testStartUnixMs);
        }
    }

    bool isRunning(const std::string& job) const
    {
        return std::any_of(running.begin(), running.end(),
            [&](const Fleet::AttemptStart& start) { return start.task.job == job; });
    }

    /*! Runs ticks and passes for \p duration. */
    void advance(Utils::Duration duration)
    {
        for (const Utils::TimePoint end = now + duration; now < end;) {
            now += 100ms;
            finishAttempts(0, Ports::AttemptOutcome::Done);
            scheduler.onTick(now, testStartUnixMs);
            noteTickSteps();
            runPass();
        }
    }

    void noteSteps()
    {
        const Fleet::StepBudget& pass = scheduler.latestPass();
        const std::size_t preparation = pass.spent(Fleet::StepKind::Preparation);
        mostSteps = std::max(mostSteps, pass.spent() - preparation);
    }

    void noteTickSteps() { mostTickSteps = std::max(mostTickSteps, scheduler.latestPass().spent()); }

    /*! \return the bound on the steps of a tick: some for each worker and task, and limited searches. */
    std::size_t tickBound(std::size_t taskCount) const
    {
        return passLimit + 4 * (workers.size() + taskCount) + searchSteps();
    }

    /*! \return the steps of a search that examines each worker once, with its tasks. */
    std::size_t searchSteps() const { return workers.size() * (1 + tasksPerWorker); }

    std::size_t mostSteps = 0; //!< Of a pass, without its preparation.
    std::size_t mostTickSteps = 0;
};

} // namespace

TEST_CASE("An owner of a full shard is not starved by the search for tasks to relocate")
{
    for (const std::size_t workerCount : shardSizes) {
        FullShard shard(workerCount);
        FleetSchema::StepSpec waiting = makeStep(20, 8'000, 1000);
        waiting.set_lasting(true);
        shard.submit("waiting", waiting);
        shard.advance(1500ms);
        INFO(workerCount << " workers");
        CHECK(shard.mostSteps <= passLimit + shard.searchSteps());
    }
}

TEST_CASE("A pass that is left goes on with the tasks that it has not visited")
{
    for (const std::size_t workerCount : shardSizes) {
        FullShard shard(workerCount);
        // No search includes the next one, so each of them examines all workers.
        shard.submitShrinkingTasks(2000);
        shard.submit("small", makeStep(1, 3'000, 1000));
        shard.runPass();
        CHECK(shard.scheduler.isSweepUnfinished());
        std::size_t passCount = 1;
        for (; shard.scheduler.isSweepUnfinished() && passCount < 1000; ++passCount)
            shard.runPass();
        INFO(workerCount << " workers");
        CHECK(passCount <= 2 + 2000 * (workerCount + 2) / Fleet::SchedulerOptions().searchStepLimit);
        // Its record may have to wait for those of the others.
        while (shard.scheduleAndCommit())
            shard.confirmStarts();
        CHECK(shard.isRunning("small"));
        CHECK(shard.mostSteps <= passLimit + shard.searchSteps());
    }
}

TEST_CASE("Jobs that arrive while a sweep is unfinished do not keep it from visiting the others")
{
    FullShard shard(540);
    shard.submitShrinkingTasks(1000, 5);
    FleetSchema::JobSpec small = makeJob("small", { makeStep(1, 3'000, 1000) });
    small.set_priority(9);
    shard.scheduler.submit(small, 1, shard.now, testStartUnixMs);
    for (int pass = 0; pass < 100 && !shard.isRunning("small"); ++pass) {
        FleetSchema::JobSpec urgent
            = makeJob("urgent-" + std::to_string(pass), { makeStep(50, 8'000, 1000) });
        urgent.set_priority(0); // The most urgent.
        shard.scheduler.submit(urgent, 1, shard.now, testStartUnixMs);
        shard.runPass();
    }
    CHECK(shard.isRunning("small"));
}

TEST_CASE("The rest of a wide step is visited after a pass was left in the middle of it")
{
    FullShard shard(2000);
    // Each task has waited for another time, so that no search says anything about the next one.
    FleetSchema::StepSpec wide = makeBestEffortStep(200, 40'000, "image");
    wide.set_max_per_worker(1);
    shard.submit("wide", wide);
    shard.submit("small", makeStep(1, 3'000, 1000));
    for (int pass = 0; pass < 10; ++pass)
        shard.runPass();
    CHECK(shard.isRunning("small"));
    CHECK(shard.mostSteps <= passLimit + shard.searchSteps());
}

TEST_CASE("An owner with many waiting gangs is not starved by the searches for them")
{
    for (const std::size_t workerCount : shardSizes) {
        FullShard shard(workerCount);
        // Most members find a worker, not all.
        const std::size_t memberCount = std::min(workerCount * 3 / 2, maxTasks);
        FleetSchema::StepSpec gang = makeStep(static_cast<std::uint32_t>(memberCount), 3'000, 1000);
        gang.set_gang(true);
        for (int number = 0; number < 30; ++number)
            shard.submit("gang-" + std::to_string(number), gang);
        shard.advance(1s);
        INFO(workerCount << " workers");
        CHECK(shard.mostSteps <= passLimit + shard.searchSteps());
    }
}

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

TEST_CASE("An owner that knows many occurrences of jobs still visits the tasks that wait")
{
    SchedulerFixture shard(4);
    for (int number = 0; number < 80; ++number) {
        FleetSchema::JobSpec job
            = makeJob("periodic-" + std::to_string(number), { makeStep(1, 1'000, 1000) });
        job.set_occurrences(1000);
        job.set_first_start_unix_ms(testStartUnixMs + 3'600'000);
        job.set_period_ms(60'000);
        shard.scheduler.submit(job, 1, shard.now, testStartUnixMs);
    }
    shard.scheduler.submit(makeJob("small", { makeStep(1, 3'000, 1000) }), 1, shard.now, testStartUnixMs);
    while (shard.scheduleAndCommit())
        shard.confirmStarts();
    CHECK(shard.running.size() == 1);
    CHECK_FALSE(shard.scheduler.isSweepUnfinished());
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

TEST_CASE("A task does not move to a worker that has another task of its step, if only one is allowed there")
{
    SchedulerFixture shard(2);
    const auto submitLasting = [&](const std::string& job, std::uint32_t count, std::int64_t size) {
        FleetSchema::StepSpec step = makeStep(count, size, 1000);
        step.set_lasting(true);
        step.set_max_per_worker(1);
        shard.scheduler.submit(makeJob(job, { step }), 1, shard.now, testStartUnixMs);
        shard.scheduleAndCommit();
        shard.confirmStarts();
    };
    submitLasting("blocker", 1, 22'000);
    submitLasting("filler", 1, 7'000);
    submitLasting("apart", 2, 10'000);
    REQUIRE(shard.running.size() == 4);
    REQUIRE(shard.running[1].worker == "w1");
    // Only the filling task and one of those apart are left on w1, the other one on w0.
    shard.now += 100ms;
    shard.scheduler.cancel("blocker", 2, testStartUnixMs);
    shard.scheduleAndCommit();
    shard.output.stops.clear();
    Ports::WorkerReport report;
    for (const Fleet::AttemptStart& attempt : shard.running) {
        if (attempt.worker == "w0" && attempt.task.job != "blocker")
            report.running.push_back({ attempt.task, attempt.attempt, {}, 100, 5 });
        if (attempt.task.job == "blocker")
            report.ended.push_back({ ++shard.lastEndNumbers["w0"], attempt.task, attempt.attempt,
                Ports::AttemptOutcome::Stopped, {} });
    }
    shard.report("w0", report);
    std::erase_if(
        shard.running, [](const Fleet::AttemptStart& start) { return start.task.job == "blocker"; });
    submitLasting("waiting", 1, 25'000);
    REQUIRE(shard.running.size() == 3);
    for (int tick = 0; tick < 30; ++tick) {
        shard.now += 100ms;
        shard.finishAttempts(0, Ports::AttemptOutcome::Done);
        shard.scheduler.onTick(shard.now, testStartUnixMs);
        shard.scheduleAndCommit();
    }
    CHECK(shard.output.stops.empty());
}

TEST_CASE("An owner is not starved by a gang whose members avoid different workers")
{
    for (const std::size_t workerCount : shardSizes) {
        FullShard shard(workerCount);
        const std::size_t memberCount = std::min(workerCount, maxTasks);
        FleetSchema::StepSpec gang = makeStep(static_cast<std::uint32_t>(memberCount), 3'000, 1000);
        gang.set_gang(true);
        shard.submit("gang", gang);
        const std::size_t first = shard.output.starts.size();
        while (shard.scheduleAndCommit()) { }
        REQUIRE(shard.output.starts.size() == first + memberCount);
        for (std::size_t number = first; number < shard.output.starts.size(); ++number) {
            const Fleet::AttemptStart& start = shard.output.starts[number];
            Ports::CommandReply reply;
            reply.outcome = Ports::CommandOutcome::Rejected;
            shard.scheduler.onStartReply(start.worker, start.task, start.attempt, reply, shard.now);
        }
        shard.confirmedStarts = shard.output.starts.size();
        // There is no room for all members any more.
        FleetSchema::StepSpec small = makeStep(static_cast<std::uint32_t>(memberCount), 4'000, 1000);
        small.set_count(static_cast<std::uint32_t>(std::min<std::size_t>(maxTasks, workerCount / 20 + 1)));
        small.set_lasting(true);
        for (std::size_t room = workerCount - memberCount + small.count(); room > 0;) {
            small.set_count(static_cast<std::uint32_t>(std::min(room, maxTasks)));
            shard.submit("small-" + std::to_string(room), small);
            room -= small.count();
        }
        shard.runPass();
        shard.mostSteps = 0;
        shard.advance(500ms);
        INFO(workerCount << " workers");
        CHECK(shard.mostSteps <= passLimit + shard.searchSteps());
    }
}

TEST_CASE("An owner is not starved by a gang some of whose members have crashed their workers")
{
    for (const std::size_t workerCount : shardSizes) {
        FullShard shard(workerCount);
        const std::size_t memberCount = std::min(workerCount, maxTasks);
        FleetSchema::StepSpec gang = makeStep(static_cast<std::uint32_t>(memberCount), 3'000, 1000);
        gang.set_gang(true);
        shard.submit("gang", gang);
        while (shard.scheduleAndCommit()) { }
        shard.confirmStarts();
        // Each second worker of the gang crashes.
        std::map<std::string, Ports::WorkerReport> reports;
        std::size_t number = 0;
        std::set<std::string> crashed;
        for (const Fleet::AttemptStart& start : shard.running) {
            if (start.task.job == "gang" && ++number % 2 == 0)
                crashed.insert(start.worker);
        }
        shard.now += 50ms;
        shard.finishAttempts(0, Ports::AttemptOutcome::Done);
        shard.now += 50ms;
        for (const std::string& worker : crashed) {
            Ports::WorkerReport report;
            report.startedUnixMs = 8;
            shard.report(worker, report);
        }
        std::erase_if(shard.running, [&](const Fleet::AttemptStart& start) {
            return start.task.job == "gang" || crashed.contains(start.worker);
        });
        CHECK_FALSE(shard.output.crashes.empty());
        // The other members end.
        for (const Fleet::AttemptStart& start : shard.output.starts) {
            if (start.task.job == "gang" && !crashed.contains(start.worker))
                reports[start.worker].ended.push_back({ ++shard.lastEndNumbers[start.worker], start.task,
                    start.attempt, Ports::AttemptOutcome::GangBroken, {} });
        }
        for (const Fleet::AttemptStart& attempt : shard.running)
            reports[attempt.worker].running.push_back({ attempt.task, attempt.attempt, {}, 50, 1000 });
        for (const auto& [worker, report] : reports)
            shard.report(worker, report);
        shard.mostSteps = 0;
        shard.advance(500ms);
        INFO(workerCount << " workers");
        CHECK(shard.mostSteps > 1000);
        CHECK(shard.mostSteps <= passLimit + shard.searchSteps());
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

TEST_CASE(
    "A task that is lost while a sweep is unfinished is visited before the sweep has visited all others")
{
    FullShard shard(540);
    FleetSchema::StepSpec lasting = makeStep(1, 3'000, 1000);
    lasting.set_lasting(true);
    shard.submit("lasting", lasting);
    while (shard.scheduleAndCommit())
        shard.confirmStarts();
    REQUIRE(shard.isRunning("lasting"));
    shard.submitShrinkingTasks(2000);
    while (shard.scheduler.beginCommit(testStartUnixMs))
        shard.scheduler.onCommitted(shard.now);
    shard.runPass();
    REQUIRE(shard.scheduler.isSweepUnfinished());
    std::erase_if(
        shard.running, [](const Fleet::AttemptStart& start) { return start.task.job == "lasting"; });
    shard.now += 10ms;
    shard.finishAttempts(0, Ports::AttemptOutcome::Done);
    int passCount = 0;
    for (; !shard.isRunning("lasting") && passCount < 100; ++passCount)
        shard.runPass();
    CHECK(passCount <= 3);
}

TEST_CASE(
    "A step that gets ready while a sweep is unfinished is visited before the sweep has visited all others")
{
    FullShard shard(540);
    shard.scheduler.submit(makeJob("steps", { makeStep(1, 2'000, 1000), makeStep(1, 3'000, 1000) }), 1,
        shard.now, testStartUnixMs);
    while (shard.scheduleAndCommit())
        shard.confirmStarts();
    REQUIRE(shard.isRunning("steps"));
    shard.submitShrinkingTasks(2000);
    while (shard.scheduler.beginCommit(testStartUnixMs))
        shard.scheduler.onCommitted(shard.now);
    shard.runPass();
    REQUIRE(shard.scheduler.isSweepUnfinished());
    const auto first = std::find_if(shard.running.begin(), shard.running.end(),
        [](const Fleet::AttemptStart& start) { return start.task.job == "steps"; });
    std::iter_swap(shard.running.begin(), first);
    shard.now += 10ms;
    shard.finishAttempts(1, Ports::AttemptOutcome::Done);
    int passCount = 0;
    for (; !shard.isRunning("steps") && passCount < 100; ++passCount)
        shard.runPass();
    CHECK(passCount <= 3);
}

TEST_CASE("Capacity that becomes free during a sweep goes to the most urgent task that it fits")
{
    FullShard shard(540);
    FleetSchema::JobSpec urgent = makeJob("urgent", { makeStep(1, 9'500, 1000) });
    urgent.set_priority(0); // The most urgent.
    shard.scheduler.submit(urgent, 1, shard.now, testStartUnixMs);
    shard.submitShrinkingTasks(2000, 5);
    while (shard.scheduler.beginCommit(testStartUnixMs))
        shard.scheduler.onCommitted(shard.now);
    shard.runPass();
    REQUIRE(shard.scheduler.isSweepUnfinished());
    shard.now += 10ms;
    shard.finishAttempts(1, Ports::AttemptOutcome::Failed);
    for (int pass = 0; pass < 100 && !shard.isRunning("urgent"); ++pass)
        shard.runPass();
    CHECK(shard.isRunning("urgent"));
}
