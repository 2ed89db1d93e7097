// Places where a task whose turn has come waits, each at the bound that docs/design/waits.md names.

#include "fleetfixtures.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

// The longest time for which nothing of a job may run while workers have room for it.
constexpr Utils::Duration waitBound = 3s;
constexpr Utils::Duration tickInterval = 100ms;

/*! A shard whose workers answer polls and stops, and starts as the test demands. */
struct WaitFixture : SchedulerFixture {
    using SchedulerFixture::SchedulerFixture;

    void submit(const std::string& job, const FleetSchema::StepSpec& step)
    {
        scheduler.submit(makeJob(job, { step }), 1, now, unixMs());
        advance(tickInterval);
    }

    std::int64_t unixMs() const
    {
        return testStartUnixMs
            + std::chrono::duration_cast<std::chrono::milliseconds>(now - testStart).count();
    }

    void advance(Utils::Duration duration)
    {
        for (const Utils::TimePoint end = now + duration; now < end;) {
            now += std::min<Utils::Duration>(tickInterval, end - now);
            for (const std::string& worker : workers)
                reportRunning(worker);
            scheduler.onTick(now, unixMs());
            runRound();
            // A node runs another one at once if the first one has changed something.
            runRound();
        }
    }

    /*! \return how long it takes until a task of the job runs; the limit if none does within it. */
    Utils::Duration timeToRun(const std::string& job, Utils::Duration limit = 2 * waitBound)
    {
        const Utils::TimePoint start = now;
        while (!isRunning(job) && now - start < limit)
            advance(tickInterval);
        return now - start;
    }

    bool isRunning(const std::string& job) const
    {
        return std::any_of(running.begin(), running.end(),
            [&](const Fleet::AttemptStart& start) { return start.task.job == job; });
    }

    std::set<std::string> refusingWorkers;
    std::set<std::string> unansweringWorkers; //!< Starts sent to them are lost.
    std::set<std::string> unstoppingWorkers; //!< They answer stops and let the attempts run on.

private:
    void runRound()
    {
        scheduler.schedule(now, unixMs());
        if (scheduler.beginCommit(unixMs()))
            scheduler.onCommitted(now);
        answerStarts();
        answerStops();
    }

    void reportRunning(const std::string& worker)
    {
        Ports::WorkerReport content;
        for (const Fleet::AttemptStart& attempt : running) {
            if (attempt.worker == worker)
                content.running.push_back({ attempt.task, attempt.attempt, {}, 100, 0 });
        }
        report(worker, content);
    }

    void answerStarts()
    {
        for (; confirmedStarts < output.starts.size(); ++confirmedStarts) {
            const Fleet::AttemptStart start = output.starts[confirmedStarts];
            if (unansweringWorkers.contains(start.worker))
                continue;
            Ports::CommandReply reply;
            if (refusingWorkers.contains(start.worker))
                reply.outcome = Ports::CommandOutcome::Rejected;
            else
                running.push_back(start);
            scheduler.onStartReply(start.worker, start.task, start.attempt, reply, now);
        }
    }

    void answerStops()
    {
        for (; answeredStops_ < output.stops.size(); ++answeredStops_) {
            const RecordingOutput::Command stop = output.stops[answeredStops_];
            if (!unstoppingWorkers.contains(stop.worker)) {
                std::erase_if(running, [&](const Fleet::AttemptStart& start) {
                    return start.worker == stop.worker && start.task == stop.task
                        && start.attempt == stop.number;
                });
            }
            scheduler.onStopReply(stop.worker, stop.task, stop.number, Ports::CommandReply {}, now);
        }
    }

    std::size_t answeredStops_ = 0;
};

FleetSchema::StepSpec makeGang(std::uint32_t count)
{
    FleetSchema::StepSpec step = makeStep(count, 1000, 500);
    step.set_gang(true);
    return step;
}

} // namespace

TEST_CASE("A long-running task that fits on no worker keeps no worker free")
{
    FleetSchema::StepSpec lasting = makeLatencyCriticalStep(2, 30'000, "api");
    SECTION("for want of accelerators")
    {
        lasting.set_accelerators(1);
    }
    SECTION("for want of memory")
    {
        lasting.set_memory_mb(200'000);
    }
    WaitFixture fixture(2);
    fixture.submit("lasting", lasting);
    fixture.submit("short", makeStep(1, 4000, 500));
    CHECK(fixture.timeToRun("short") < waitBound);
}

TEST_CASE("A task whose start one worker does not answer runs on another one")
{
    WaitFixture fixture(2);
    fixture.unansweringWorkers = { "w0" };
    fixture.submit("first", makeStep(1, 4000, 500));
    CHECK(fixture.timeToRun("first") < waitBound);
    fixture.submit("second", makeStep(1, 1000, 500));
    CHECK(fixture.timeToRun("second") < waitBound);
}

TEST_CASE("A task whose starts all workers of its shard refuse or lose moves to another shard")
{
    WaitFixture fixture(2);
    SECTION("refuse")
    {
        fixture.refusingWorkers = { "w0", "w1" };
    }
    SECTION("lose")
    {
        fixture.unansweringWorkers = { "w0", "w1" };
    }
    fixture.output.shardWithCapacity = "host";
    fixture.submit("job", makeStep(1, 1000, 500));
    fixture.advance(waitBound);
    CHECK_FALSE(fixture.output.delegations.empty());
}

TEST_CASE("A task that other shards have returned is passed on within the same bound")
{
    WaitFixture fixture(0);
    fixture.output.shardWithCapacity = "host";
    fixture.submit("job", makeStep(1, 1000, 500));
    for (std::uint32_t transfer = 1; transfer <= 6; ++transfer) {
        fixture.advance(waitBound);
        REQUIRE_FALSE(fixture.output.delegations.empty());
        REQUIRE(fixture.output.delegations.back().transfer() == transfer);
        FleetSchema::TaskResult result;
        result.set_job("job");
        result.set_transfer(transfer);
        result.set_kind(FleetSchema::TASK_RETURNED);
        fixture.scheduler.acceptTaskResult(result, 10 + transfer, fixture.now, fixture.unixMs());
    }
}

TEST_CASE("A task starts at its time, whatever else happens in its shard")
{
    WaitFixture fixture(1);
    for (const std::uint32_t occurrences : { 1U, 2U }) {
        const std::string id = "job" + std::to_string(occurrences);
        FleetSchema::JobSpec spec = makeJob(id, { makeStep(1, 1000, 60'000) });
        spec.set_occurrences(occurrences);
        spec.set_period_ms(60'000);
        spec.set_first_start_unix_ms(fixture.unixMs() + 1000);
        fixture.scheduler.submit(spec, 1, fixture.now, fixture.unixMs());
        fixture.advance(900ms);
        CHECK_FALSE(fixture.isRunning(id));
        CHECK(fixture.timeToRun(id) <= 500ms);
    }
}

TEST_CASE("A gang whose starts were refused once starts again without another event")
{
    WaitFixture fixture(2);
    fixture.refusingWorkers = { "w0", "w1" };
    fixture.submit("gang", makeGang(2));
    REQUIRE(fixture.output.starts.size() == 2);
    fixture.refusingWorkers.clear();
    fixture.advance(tickInterval / 2);
    CHECK(fixture.timeToRun("gang") < waitBound);
}

TEST_CASE("A gang whose starts are refused again and again moves to another shard")
{
    WaitFixture fixture(2);
    fixture.refusingWorkers = { "w0", "w1" };
    fixture.output.shardWithCapacity = "host";
    fixture.submit("gang", makeGang(2));
    fixture.advance(waitBound);
    CHECK(fixture.output.delegations.size() >= 2);
}

TEST_CASE("A stop is repeated while the worker lists the attempt, though it answered")
{
    WaitFixture fixture(1);
    fixture.submit("job", makeLatencyCriticalStep(1, 4000, "api"));
    REQUIRE(fixture.isRunning("job"));
    fixture.unstoppingWorkers = { "w0" };
    fixture.scheduler.cancel("job", 2, fixture.unixMs());
    fixture.advance(1s);
    const std::size_t stopCount = fixture.output.stops.size();
    REQUIRE(stopCount > 0);
    fixture.unstoppingWorkers.clear();
    fixture.advance(waitBound);
    CHECK(fixture.output.stops.size() > stopCount);
    CHECK_FALSE(fixture.isRunning("job"));
}

TEST_CASE("A task under which two workers have crashed starts beside a stream of short tasks of other jobs")
{
    FleetSchema::StepSpec step = makeLatencyCriticalStep(1, 4000, "api");
    SECTION("a long-running task") { }
    SECTION("a task that ends")
    {
        step = makeStep(1, 4000, 500);
    }
    WaitFixture fixture(2);
    fixture.submit("suspect", step);
    for (int crash = 0; crash < 2; ++crash) {
        while (!fixture.isRunning("suspect"))
            fixture.advance(tickInterval);
        const std::string worker = fixture.running.back().worker;
        fixture.running.clear();
        fixture.scheduler.onWorkerReplaced(worker, fixture.now, fixture.unixMs());
    }
    const Utils::TimePoint crashedAt = fixture.now;
    int count = 0;
    while (!fixture.isRunning("suspect") && fixture.now - crashedAt < 2 * waitBound) {
        for (int number = 0; number < 2; ++number)
            fixture.scheduler.submit(makeJob("short" + std::to_string(++count), { makeStep(1, 2000, 200) }),
                1, fixture.now, fixture.unixMs());
        fixture.advance(tickInterval);
        // Each short task runs for two ticks, so that a younger one is on each worker when it ends.
        if (fixture.running.size() > 4)
            fixture.finishAttempts(2, Ports::AttemptOutcome::Done);
    }
    // After the second crash a task pauses for 500 ms.
    CHECK(fixture.now - crashedAt < waitBound);
}

TEST_CASE("A task that must not share a worker with another one of its step moves to another shard")
{
    for (const bool isLongRunning : { false, true }) {
        FleetSchema::StepSpec step = makeStep(2, 4000, 60'000);
        step.set_lasting(isLongRunning);
        step.set_max_per_worker(1);
        WaitFixture fixture(1);
        fixture.output.shardWithCapacity = "host";
        fixture.submit("job", step);
        fixture.advance(waitBound);
        CHECK(fixture.running.size() == 1);
        CHECK_FALSE(fixture.output.delegations.empty());
    }
}

TEST_CASE("Long-running tasks for which others must be relocated all run or move within the same bound")
{
    WaitFixture fixture(4);
    fixture.output.shardWithCapacity = "host";
    // Each worker has 12 processors left, and a waiting task needs 20.
    fixture.submit("small", makeLatencyCriticalStep(8, 10'000, "small"));
    REQUIRE(fixture.running.size() == 8);
    fixture.submit("large", makeLatencyCriticalStep(3, 20'000, "large"));
    fixture.advance(waitBound);
    const auto isLarge = [](const Fleet::AttemptStart& start) { return start.task.job == "large"; };
    const auto runningCount
        = static_cast<std::size_t>(std::count_if(fixture.running.begin(), fixture.running.end(), isLarge));
    CHECK(runningCount + fixture.output.delegations.size() >= 3);
}
