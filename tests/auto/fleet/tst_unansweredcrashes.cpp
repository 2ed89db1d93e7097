// Workers that crash before they answer a start.

#include "fleetfixtures.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

struct UnansweredFixture : SchedulerFixture {
    UnansweredFixture()
        : SchedulerFixture(6)
    {
    }

    void submit(const std::string& job)
    {
        scheduler.submit(makeJob(job, { makeStep(1, 1000, 500) }), 1, now, testStartUnixMs);
    }

    // Lets time pass while the workers report what they run. Starts are not answered.
    void advance(Utils::Duration duration)
    {
        for (const Utils::TimePoint end = now + duration; now < end;) {
            now += 100ms;
            for (const std::string& worker : workers)
                report(worker, runs[worker]);
            scheduler.onTick(now, testStartUnixMs);
            scheduleAndCommit();
        }
    }

    // Crashes the worker of the job's next start, at once.
    bool crashNextWorkerOf(const std::string& job)
    {
        for (int step = 0; step < 80; ++step) {
            for (; examinedStarts < output.starts.size(); ++examinedStarts) {
                if (output.starts[examinedStarts].task.job != job)
                    continue;
                replace(output.starts[examinedStarts++].worker);
                return true;
            }
            advance(100ms);
        }
        return false;
    }

    // The worker's process has ended; another worker takes its place.
    void replace(const std::string& worker)
    {
        std::erase(workers, worker);
        workers.push_back("new" + std::to_string(++newWorkerCount));
        std::vector<Ports::WorkerInfo> infos;
        for (const std::string& id : workers)
            infos.push_back(makeWorkerInfo(id));
        scheduler.setWorkers(infos, now);
        scheduler.onWorkerReplaced(worker, now, testStartUnixMs);
        scheduleAndCommit();
    }

    std::size_t countStarts(const std::string& job) const
    {
        return static_cast<std::size_t>(std::count_if(output.starts.begin(), output.starts.end(),
            [&](const Fleet::AttemptStart& start) { return start.task.job == job; }));
    }

    FleetSchema::JobRecord storedJob(const std::string& job) const
    {
        FleetSchema::JobRecord record;
        record.ParseFromString(rows.at(job));
        return record;
    }

    std::map<std::string, Ports::WorkerReport> runs; //!< What workers report.
    std::size_t examinedStarts = 0;
    int newWorkerCount = 0;
};

} // namespace

// Guards against a task that takes one worker after the other down, as no crash counts against it.
TEST_CASE("A task that crashes its workers before they answer is given up after two starts more than three")
{
    UnansweredFixture fixture;
    fixture.submit("deadly");
    while (fixture.scheduler.state("deadly") != FleetSchema::JOB_FAILED && fixture.countStarts("deadly") < 12)
        REQUIRE(fixture.crashNextWorkerOf("deadly"));
    CHECK(fixture.countStarts("deadly") == 5);
    REQUIRE(fixture.output.ended.size() == 1);
    CHECK(fixture.output.ended[0].reason == "crashed-workers");
}

TEST_CASE("Crashes under unanswered starts are counted across owners")
{
    FleetSchema::JobRecord record;
    int crashCount = 0;
    for (; crashCount < 12 && record.state() != FleetSchema::JOB_FAILED; ++crashCount) {
        UnansweredFixture owner;
        if (crashCount == 0)
            owner.submit("deadly");
        else
            owner.scheduler.restore(record, owner.now, testStartUnixMs);
        REQUIRE(owner.crashNextWorkerOf("deadly"));
        record = owner.storedJob("deadly");
    }
    CHECK(crashCount == 5);
}

TEST_CASE("A delegated task brings the count of crashes under unanswered starts, and returns with it")
{
    UnansweredFixture fixture;
    FleetSchema::TaskTransfer transfer;
    *transfer.mutable_job() = makeJob("deadly", { makeStep(1, 1000, 500) });
    transfer.set_transfer(1);
    transfer.set_unanswered_crashes(2);
    transfer.set_origin_shard("origin");
    fixture.scheduler.acceptDelegatedTask(transfer, 1, fixture.now);
    // An isolated task is the cause of the crash.
    REQUIRE(fixture.crashNextWorkerOf("deadly"));
    fixture.scheduler.setWorkers({}, fixture.now);
    fixture.workers.clear();
    fixture.advance(6s);
    REQUIRE_FALSE(fixture.output.results.empty());
    CHECK(fixture.output.results[0].second.crashes() == 1);
    CHECK(fixture.output.results[0].second.unanswered_crashes() == 2);
}

// Guards against a job that fails although its workers crashed for other reasons, as many restart at once.
TEST_CASE("A task that runs after two crashes under unanswered starts is cleared")
{
    UnansweredFixture fixture;
    fixture.submit("job");
    REQUIRE(fixture.crashNextWorkerOf("job"));
    REQUIRE(fixture.crashNextWorkerOf("job"));
    CHECK(fixture.storedJob("job").tasks(0).unanswered_crashes() == 2);
    while (fixture.countStarts("job") < 3)
        fixture.advance(100ms);
    const Fleet::AttemptStart start = fixture.output.starts.back();
    fixture.scheduler.onStartReply(
        start.worker, start.task, start.attempt, Ports::CommandReply { {}, 1000 }, fixture.now);
    fixture.runs[start.worker].running.push_back({ start.task, start.attempt, {}, 10, 0 });
    fixture.runs[start.worker].clockMs = 1500;
    fixture.advance(300ms);
    CHECK(fixture.storedJob("job").tasks(0).unanswered_crashes() == 0);
    CHECK(fixture.storedJob("job").tasks(0).crashes() == 0);
}

TEST_CASE("A start that was not answered counts for nothing if its worker has not crashed")
{
    UnansweredFixture fixture;
    fixture.submit("job");
    fixture.advance(100ms);
    const Fleet::AttemptStart start = fixture.output.starts.at(0);
    // The worker drains, so that its end is planned.
    std::vector<Ports::WorkerInfo> infos;
    for (const std::string& id : fixture.workers) {
        infos.push_back(makeWorkerInfo(id));
        infos.back().isDraining = id == start.worker;
    }
    fixture.scheduler.setWorkers(infos, fixture.now);
    fixture.scheduler.onWorkerReplaced(start.worker, fixture.now, testStartUnixMs);
    fixture.scheduleAndCommit();
    CHECK(fixture.output.crashes.empty());
    CHECK(fixture.storedJob("job").tasks(0).unanswered_crashes() == 0);
}
