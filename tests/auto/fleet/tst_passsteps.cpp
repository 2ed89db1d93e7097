// Bounds on what one pass of an owner examines, in shards of the sizes in use and beyond.

#include "fullshardfixture.h"

#include <map>
#include <set>

using namespace std::chrono_literals;
using namespace Testing;

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
