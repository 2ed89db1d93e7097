#include "fleetfixtures.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace std::chrono_literals;
using namespace Testing;

TEST_CASE("A submission is answered and its tasks are started only once it is stored")
{
    SchedulerFixture fixture(2);
    fixture.scheduler.submit(makeJob("a", { makeStep(3, 1000, 500) }), 5, fixture.now, startUnixMs);
    fixture.scheduler.schedule(fixture.now, startUnixMs);
    const auto batch = fixture.scheduler.takeBatch(startUnixMs);
    REQUIRE(batch);
    CHECK(batch->puts.size() == 1);
    CHECK(fixture.orders.answers.empty());
    CHECK(fixture.orders.starts.empty());
    CHECK_FALSE(fixture.scheduler.state("a"));
    fixture.scheduler.onCommitted(fixture.now);
    REQUIRE(fixture.orders.answers.size() == 1);
    CHECK(fixture.orders.answers[0].first == 5);
    CHECK(fixture.orders.starts.size() == 3);
}

TEST_CASE("The same submission again is the same job")
{
    SchedulerFixture fixture(2);
    const auto job = makeJob("a", { makeStep(1, 1000, 500) });
    fixture.scheduler.submit(job, 1, fixture.now, startUnixMs);
    fixture.scheduler.submit(job, 2, fixture.now, startUnixMs);
    fixture.round();
    fixture.scheduler.submit(job, 3, fixture.now, startUnixMs);
    fixture.round();
    CHECK(fixture.orders.answers.size() == 3);
    CHECK(fixture.orders.starts.size() == 1);
}

TEST_CASE("An end is acknowledged only once it is stored, and completed is told only then")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.submit(makeJob("a", { makeStep(1, 1000, 500) }), 1, fixture.now, startUnixMs);
    fixture.round();
    fixture.confirmStarts();
    fixture.finishAll(Ports::AttemptOutcome::Done);
    CHECK(fixture.scheduler.planPoll("w0", fixture.now, true).acknowledged == 0);
    CHECK(fixture.scheduler.state("a") == FleetSchema::JOB_RUNNING);
    fixture.round();
    CHECK(fixture.scheduler.planPoll("w0", fixture.now, true).acknowledged == 1);
    CHECK(fixture.scheduler.state("a") == FleetSchema::JOB_COMPLETED);
}

TEST_CASE("A step waits until all tasks of the former one are done")
{
    SchedulerFixture fixture(2);
    const auto job = makeJob("a", { makeStep(2, 1000, 500), makeStep(1, 1000, 500) });
    fixture.scheduler.submit(job, 1, fixture.now, startUnixMs);
    fixture.round();
    fixture.confirmStarts();
    REQUIRE(fixture.running.size() == 2);
    fixture.finish(1, Ports::AttemptOutcome::Done);
    fixture.round();
    CHECK(fixture.orders.starts.size() == 2);
    fixture.finishAll(Ports::AttemptOutcome::Done);
    fixture.round();
    REQUIRE(fixture.orders.starts.size() == 3);
    CHECK(fixture.orders.starts[2].task.step == 1);
}

TEST_CASE("A task whose start was not answered is started elsewhere only after the stop was answered")
{
    SchedulerFixture fixture(2);
    fixture.scheduler.submit(makeJob("a", { makeStep(1, 1000, 500) }), 1, fixture.now, startUnixMs);
    fixture.round();
    REQUIRE(fixture.orders.starts.size() == 1);
    const auto first = fixture.orders.starts[0];
    const Utils::Error unknown { Utils::ErrorCode::OutcomeUnknown, "start", first.worker, "no answer" };
    fixture.scheduler.onStartReply(first.worker, first.task, first.attempt, unknown, fixture.now);
    REQUIRE(fixture.orders.stops.size() == 1);
    fixture.report(first.worker, {});
    fixture.round();
    CHECK(fixture.orders.starts.size() == 1);
    fixture.scheduler.onStopReply(
        first.worker, first.task, first.attempt, Ports::CommandReply {}, fixture.now);
    fixture.now += 300ms;
    fixture.report(first.worker, {});
    fixture.round();
    REQUIRE(fixture.orders.starts.size() == 2);
    CHECK(fixture.orders.starts[1].attempt == 2);
}

TEST_CASE("Tasks of a silent worker are started elsewhere only after its lease has surely lapsed")
{
    SchedulerFixture fixture(2);
    fixture.scheduler.submit(makeJob("a", { makeStep(1, 1000, 9000) }), 1, fixture.now, startUnixMs);
    fixture.round();
    fixture.confirmStarts();
    const std::string silent = fixture.orders.starts[0].worker;
    fixture.scheduler.onPollFailed(silent);
    fixture.scheduler.onPollFailed(silent);
    fixture.now += 4900ms;
    fixture.scheduler.onTick(fixture.now, startUnixMs);
    fixture.round();
    CHECK(fixture.orders.starts.size() == 1);
    fixture.now += 400ms;
    fixture.scheduler.onTick(fixture.now, startUnixMs);
    fixture.round();
    REQUIRE(fixture.orders.starts.size() == 2);
    CHECK(fixture.orders.starts[1].worker != silent);
}

TEST_CASE("A worker born again has lost what it ran, and its ends count from one again")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.submit(makeJob("a", { makeStep(2, 1000, 500) }), 1, fixture.now, startUnixMs);
    fixture.round();
    fixture.confirmStarts();
    const auto lost = fixture.running.back();
    fixture.finish(1, Ports::AttemptOutcome::Done);
    fixture.round();
    fixture.now += 100ms;
    Ports::WorkerReport reborn;
    reborn.startedUnixMs = 99;
    fixture.report("w0", reborn);
    fixture.round();
    REQUIRE(fixture.orders.starts.size() == 3);
    CHECK(fixture.orders.starts[2].task == lost.task);
    CHECK(fixture.scheduler.planPoll("w0", fixture.now, true).acknowledged == 0);
}

TEST_CASE("A successor adopts what runs and restarts what does not")
{
    SchedulerFixture former(1);
    former.scheduler.submit(makeJob("a", { makeStep(2, 1000, 500) }), 1, former.now, startUnixMs);
    former.scheduler.schedule(former.now, startUnixMs);
    const auto batch = former.scheduler.takeBatch(startUnixMs);
    REQUIRE(batch);
    FleetSchema::JobRecord record;
    REQUIRE(record.ParseFromString(batch->puts[0].second));

    SchedulerFixture successor(0);
    successor.scheduler.restore(record, successor.now, startUnixMs);
    successor.scheduler.setWorkers({ makeWorkerInfo("w0") }, successor.now);
    successor.round();
    CHECK(successor.orders.starts.empty());
    Ports::WorkerReport report;
    report.running.push_back({ { "a", 0, 0, 0 }, 1, {}, 10, 1000 });
    successor.report("w0", report);
    successor.round();
    REQUIRE(successor.orders.starts.size() == 1);
    CHECK(successor.orders.starts[0].task.index == 1);
    CHECK(successor.orders.starts[0].attempt == 2);
}

TEST_CASE("A task that always fails is bounded, and its job is failed")
{
    SchedulerFixture fixture(3);
    fixture.scheduler.submit(makeJob("a", { makeStep(1, 1000, 500) }), 1, fixture.now, startUnixMs);
    for (int attempt = 0; attempt < 6; ++attempt) {
        fixture.round();
        fixture.confirmStarts();
        fixture.finishAll(Ports::AttemptOutcome::Failed);
        fixture.now += 10s;
    }
    fixture.round();
    CHECK(fixture.orders.starts.size() == 3);
    CHECK(fixture.scheduler.state("a") == FleetSchema::JOB_FAILED);
}

TEST_CASE("A cancelled job's tasks are stopped once the cancellation is stored")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.submit(makeJob("a", { makeStep(2, 1000, 500) }), 1, fixture.now, startUnixMs);
    fixture.round();
    fixture.confirmStarts();
    fixture.scheduler.cancel("a", 9, startUnixMs);
    CHECK(fixture.orders.stops.empty());
    fixture.round();
    CHECK(fixture.orders.stops.size() == 2);
    CHECK(fixture.orders.answers.back().first == 9);
    CHECK(fixture.orders.answers.back().second.state == FleetSchema::JOB_CANCELLED);
}

TEST_CASE("An attempt that nobody asked for is stopped where it shows up")
{
    SchedulerFixture fixture(1);
    Ports::WorkerReport report;
    report.running.push_back({ { "unknown", 0, 0, 0 }, 4, {}, 10, 1000 });
    fixture.report("w0", report);
    REQUIRE(fixture.orders.stops.size() == 1);
    CHECK(fixture.orders.stops[0].number == 4);
}

TEST_CASE("The members of a gang start together or not at all")
{
    SchedulerFixture fixture(2);
    FleetSchema::StepSpec gang = makeStep(3, 20'000, 500);
    gang.set_gang(true);
    fixture.scheduler.submit(makeJob("wide", { gang }), 1, fixture.now, startUnixMs);
    fixture.round();
    CHECK(fixture.orders.starts.empty());
    gang.set_count(2);
    fixture.scheduler.submit(makeJob("fits", { gang }), 2, fixture.now, startUnixMs);
    fixture.round();
    REQUIRE(fixture.orders.starts.size() == 2);
    CHECK(fixture.orders.starts[0].attempt == fixture.orders.starts[1].attempt);
    fixture.confirmStarts();
    fixture.finish(1, Ports::AttemptOutcome::Done);
    fixture.round();
    CHECK(fixture.scheduler.state("fits") == FleetSchema::JOB_COMPLETED);
}

TEST_CASE("A burst beyond the room: jobs that can still be in time go before those that cannot")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.submit(makeJob("late", { makeStep(8, 4000, 1000) }), 1, fixture.now, startUnixMs);
    fixture.now += 2s; // Its objective is 2.5 s and its work takes 1 s.
    fixture.scheduler.submit(makeJob("new", { makeStep(8, 4000, 1000) }), 2, fixture.now, startUnixMs);
    fixture.round();
    REQUIRE(fixture.orders.starts.size() == 8);
    CHECK(std::all_of(fixture.orders.starts.begin(), fixture.orders.starts.end(),
        [](const Fleet::AttemptStart& started) { return started.task.job == "new"; }));
}

TEST_CASE("A lasting task without room gets a worker kept free of short tasks")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.submit(makeJob("short", { makeStep(8, 4000, 1000) }), 1, fixture.now, startUnixMs);
    fixture.round();
    fixture.confirmStarts();
    REQUIRE(fixture.running.size() == 8);
    fixture.scheduler.submit(
        makeJob("lasting", { makeServingStep(1, 10'000, "s") }), 2, fixture.now, startUnixMs);
    fixture.scheduler.submit(makeJob("more", { makeStep(8, 4000, 1000) }), 3, fixture.now, startUnixMs);
    fixture.round();
    // Two short tasks end; their room must not go to the next short ones.
    fixture.finish(2, Ports::AttemptOutcome::Done);
    fixture.round();
    CHECK(fixture.orders.starts.size() == 8);
    fixture.finish(1, Ports::AttemptOutcome::Done);
    fixture.round();
    REQUIRE(fixture.orders.starts.size() >= 9);
    CHECK(fixture.orders.starts[8].task.job == "lasting");
}

TEST_CASE("A full shard moves a lasting task where another one finds no worker of its own")
{
    SchedulerFixture fixture(3);
    // Two tasks that must run apart take w0 and w1; the third one needs w2, which others fill.
    FleetSchema::StepSpec apart = makeServingStep(3, 20'000, "s");
    apart.set_max_per_worker(1);
    FleetSchema::StepSpec small = makeServingStep(2, 10'000, "s");
    small.set_max_per_worker(2);
    fixture.scheduler.submit(makeJob("small", { small }), 1, fixture.now, startUnixMs);
    fixture.round();
    fixture.confirmStarts();
    const std::string taken = fixture.running[0].worker;
    fixture.scheduler.submit(
        makeJob("blocker", { makeServingStep(1, 12'000, "s") }), 2, fixture.now, startUnixMs);
    fixture.round();
    fixture.confirmStarts();
    fixture.scheduler.submit(makeJob("apart", { apart }), 3, fixture.now, startUnixMs);
    for (int step = 0; step < 30; ++step) {
        fixture.round();
        fixture.confirmStarts();
        std::map<std::string, Ports::WorkerReport> reports;
        for (const std::string& worker : fixture.workers)
            reports[worker];
        for (const Fleet::AttemptStart& started : fixture.running)
            reports[started.worker].running.push_back({ started.task, started.attempt, {}, 100, 5 });
        for (const RecordedOrders::Order& stop : fixture.orders.stops) {
            std::erase_if(fixture.running, [&](const Fleet::AttemptStart& started) {
                if (started.task != stop.task || started.attempt != stop.number)
                    return false;
                auto& report = reports[started.worker];
                std::erase_if(report.running, [&](const auto& row) { return row.task == started.task; });
                report.ended.push_back({ ++fixture.lastEnd[started.worker], started.task, started.attempt,
                    Ports::AttemptOutcome::Stopped, {} });
                return true;
            });
        }
        fixture.now += 200ms;
        for (const auto& [worker, report] : reports)
            fixture.report(worker, report);
        fixture.scheduler.onTick(fixture.now, startUnixMs);
    }
    const auto atWork = std::count_if(fixture.running.begin(), fixture.running.end(),
        [](const Fleet::AttemptStart& started) { return started.task.job == "apart"; });
    CHECK(atWork == 3);
    CHECK(fixture.running.size() == 6);
}

namespace {

// A lasting task that finds no room in its shard while another shard has some.
struct LendingFixture : SchedulerFixture {
    LendingFixture()
        : SchedulerFixture(1)
    {
        scheduler.submit(makeJob("big", { makeServingStep(4, 10'000, "s") }), 1, now, startUnixMs);
        round();
        confirmStarts();
        orders.neighbour = "other";
        for (int step = 0; step < 25 && orders.lends.empty(); ++step) {
            now += 100ms;
            finish(0, Ports::AttemptOutcome::Done);
            scheduler.onTick(now, startUnixMs);
            scheduler.schedule(now, startUnixMs);
            if (const auto batch = scheduler.takeBatch(startUnixMs)) {
                CHECK(orders.lends.empty()); // Stored before it is sent.
                stored = batch->puts.back().second;
                scheduler.onCommitted(now);
            }
        }
    }

    std::string stored;
};

} // namespace

TEST_CASE("A shard without room lends a lasting task once that is stored, and never starts it itself")
{
    LendingFixture fixture;
    REQUIRE(fixture.orders.lends.size() == 1);
    CHECK(fixture.running.size() == 3);
    fixture.scheduler.onLendAnswered(fixture.orders.lends[0], "other");
    fixture.now += 5s;
    fixture.scheduler.onTick(fixture.now, startUnixMs);
    fixture.finish(1, Ports::AttemptOutcome::Failed);
    fixture.now += 1s;
    fixture.round();
    CHECK(fixture.orders.lends.size() == 1);
    const std::uint32_t lent = fixture.orders.lends[0].index();
    CHECK(std::count_if(fixture.orders.starts.begin(), fixture.orders.starts.end(),
              [lent](const Fleet::AttemptStart& started) { return started.task.index == lent; })
        == 0);
}

TEST_CASE("A lent task is sent again until it is answered, also by a successor")
{
    LendingFixture fixture;
    fixture.now += 700ms;
    fixture.scheduler.onTick(fixture.now, startUnixMs);
    CHECK(fixture.orders.lends.size() == 2);
    FleetSchema::JobRecord record;
    REQUIRE(record.ParseFromString(fixture.stored));
    SchedulerFixture successor(1);
    successor.scheduler.restore(record, successor.now, startUnixMs);
    successor.scheduler.onTick(successor.now, startUnixMs);
    REQUIRE(successor.orders.lends.size() == 1);
    CHECK(successor.orders.lends[0].transfer() == fixture.orders.lends[0].transfer());
}

TEST_CASE("The other shard runs a lent task once, however often it is told")
{
    LendingFixture lender;
    SchedulerFixture other(2);
    for (std::uint64_t ticket = 1; ticket <= 3; ++ticket) {
        other.scheduler.adopt(lender.orders.lends[0], ticket, other.now);
        other.round();
    }
    CHECK(other.orders.answers.size() == 3);
    REQUIRE(other.orders.starts.size() == 1);
    CHECK(other.orders.starts[0].attempt > lender.orders.lends[0].attempt());
    CHECK(other.scheduler.load().pending().empty());
}

TEST_CASE("While the store is slow to take the record of a lent task, the other shard is not called")
{
    LendingFixture fixture;
    // The lent task comes back and finds no room again, and the store holds the transaction up.
    FleetSchema::TaskTransfer back = fixture.orders.lends[0];
    back.set_transfer(back.transfer() + 1);
    fixture.scheduler.adopt(back, 5, fixture.now);
    fixture.round();
    const std::size_t before = fixture.orders.lends.size();
    for (int step = 0; step < 25; ++step) {
        fixture.now += 100ms;
        fixture.finish(0, Ports::AttemptOutcome::Done);
        fixture.scheduler.onTick(fixture.now, startUnixMs);
        fixture.scheduler.schedule(fixture.now, startUnixMs);
        if (fixture.scheduler.hasChanges())
            break;
    }
    REQUIRE(fixture.scheduler.takeBatch(startUnixMs));
    for (int step = 0; step < 20; ++step) {
        fixture.now += 100ms;
        fixture.scheduler.onTick(fixture.now, startUnixMs);
    }
    CHECK(fixture.orders.lends.size() == before);
    fixture.scheduler.onCommitted(fixture.now);
    CHECK(fixture.orders.lends.size() == before + 1);
}

TEST_CASE("While the store is slow to take a cancellation, the shard that was lent a task is not told")
{
    // The answer to lending is still out, so the other shard is due another call.
    LendingFixture fixture;
    fixture.scheduler.cancel("big", 9, startUnixMs);
    REQUIRE(fixture.scheduler.takeBatch(startUnixMs));
    for (int step = 0; step < 20; ++step) {
        fixture.now += 100ms;
        fixture.scheduler.onTick(fixture.now, startUnixMs);
    }
    CHECK(fixture.orders.lentCancels.empty());
    fixture.scheduler.onCommitted(fixture.now);
    CHECK(fixture.orders.lentCancels.size() == 1);
}

TEST_CASE("An answer for one lent task does not stand for another one of its job under the same number")
{
    LendingFixture fixture;
    FleetSchema::TaskTransfer other = fixture.orders.lends[0];
    other.set_index(other.index() + 1);
    fixture.scheduler.onLendAnswered(other, "other");
    const std::size_t sent = fixture.orders.lends.size();
    fixture.now += 700ms;
    fixture.scheduler.onTick(fixture.now, startUnixMs);
    CHECK(fixture.orders.lends.size() > sent);
}

TEST_CASE("The late answer to lending a task does not stand for the answer to its cancellation")
{
    LendingFixture fixture;
    fixture.scheduler.cancel("big", 9, startUnixMs);
    fixture.round();
    REQUIRE(fixture.orders.lentCancels.size() == 1);
    fixture.scheduler.onLendAnswered(fixture.orders.lends[0], "other");
    fixture.now += 700ms;
    fixture.scheduler.onTick(fixture.now, startUnixMs);
    CHECK(fixture.orders.lentCancels.size() == 2);
}

TEST_CASE("A task that is lent by a call which arrives after the job's cancellation is never started")
{
    LendingFixture lender;
    SchedulerFixture other(2);
    other.scheduler.cancelPart(lender.orders.lends[0].job(), 7, other.now, startUnixMs);
    other.round();
    REQUIRE(other.orders.answers.size() == 1);
    CHECK(other.orders.answers[0].second.outcome == FleetSchema::PEER_OK);
    other.scheduler.adopt(lender.orders.lends[0], 8, other.now);
    other.round();
    other.round();
    CHECK(other.orders.answers.size() == 2);
    CHECK(other.orders.starts.empty());
}

TEST_CASE("A cancellation reaches the shard that a task was lent to")
{
    LendingFixture fixture;
    fixture.scheduler.onLendAnswered(fixture.orders.lends[0], "other");
    fixture.scheduler.cancel("big", 9, startUnixMs);
    CHECK(fixture.orders.lentCancels.empty());
    fixture.round();
    REQUIRE(fixture.orders.lentCancels.size() == 1);
    CHECK(fixture.orders.lentCancels[0].first == "other");
    fixture.now += 700ms;
    fixture.scheduler.onTick(fixture.now, startUnixMs);
    CHECK(fixture.orders.lentCancels.size() == 2);
    fixture.scheduler.onPartCancelled("big", "other");
    fixture.now += 700ms;
    fixture.scheduler.onTick(fixture.now, startUnixMs);
    CHECK(fixture.orders.lentCancels.size() == 2);
}
