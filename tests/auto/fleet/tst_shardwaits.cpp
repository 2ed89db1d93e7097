#include "fleetfixtures.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using Testing::makeJob;
using Testing::makeStep;
using Testing::SchedulerFixture;
using Testing::testStartUnixMs;

namespace {

void tick(SchedulerFixture& fixture, Utils::Duration duration)
{
    const Utils::TimePoint end = fixture.now + duration;
    while (fixture.now < end) {
        fixture.now += 100ms;
        fixture.scheduler.onTick(fixture.now, testStartUnixMs);
        fixture.scheduleAndCommit();
    }
}

} // namespace

TEST_CASE("A task that finds no worker is reported with the obstacle at each worker")
{
    SchedulerFixture fixture(2);
    fixture.scheduler.submit(makeJob("big", { makeStep(2, 40'000, 500) }), 1, fixture.now, testStartUnixMs);
    tick(fixture, 2s);
    CHECK(fixture.output.waits.empty());
    tick(fixture, 2s);
    REQUIRE(fixture.output.waits.size() == 1);
    const Fleet::WaitReport& report = fixture.output.waits[0];
    CHECK(report.kind == "short");
    CHECK(report.phase == "waiting");
    CHECK(report.obstacles == "2 too-small");
    CHECK(report.similarTaskCount == 2);
    CHECK(report.usableWorkers == 2);
    CHECK(report.waitedMs >= 2500);
}

TEST_CASE("An attempt that a successor cannot confirm is reported with its worker and the rest of the lease")
{
    SchedulerFixture owner(1);
    owner.scheduler.submit(makeJob("job", { makeStep(1, 1000, 60'000) }), 1, owner.now, testStartUnixMs);
    owner.scheduler.schedule(owner.now, testStartUnixMs);
    const auto batch = owner.scheduler.beginCommit(testStartUnixMs);
    REQUIRE(batch);
    FleetSchema::JobRecord record;
    REQUIRE(record.ParseFromString(batch->puts[0].value));
    SchedulerFixture successor(0);
    successor.scheduler.restore(record, successor.now, testStartUnixMs);
    CHECK(successor.scheduler.countUnconfirmedAttempts() == 1);
    CHECK(successor.scheduler.countAttemptsOnUnlistedWorkers() == 1);
    tick(successor, 4s);
    REQUIRE(successor.output.waits.size() == 1);
    const Fleet::WaitReport& report = successor.output.waits[0];
    CHECK(report.phase == "unverified");
    CHECK(report.worker == "w0");
    CHECK_FALSE(report.isWorkerListed);
    CHECK(report.leaseRemainingMs > 0);
}

TEST_CASE("A running task is not reported as waiting")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.submit(makeJob("job", { makeStep(1, 1000, 60'000) }), 1, fixture.now, testStartUnixMs);
    fixture.scheduleAndCommit();
    fixture.confirmStarts();
    for (int step = 0; step < 50; ++step) {
        tick(fixture, 100ms);
        fixture.finishAttempts(0, Ports::AttemptOutcome::Done);
    }
    CHECK(fixture.output.waits.empty());
}

TEST_CASE("A task on a worker that has stopped answering is reported as waiting")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.submit(makeJob("job", { makeStep(1, 1000, 60'000) }), 1, fixture.now, testStartUnixMs);
    fixture.scheduleAndCommit();
    fixture.confirmStarts();
    fixture.scheduler.onPollFailed("w0");
    fixture.scheduler.onPollFailed("w0");
    tick(fixture, 3500ms);
    REQUIRE(fixture.output.waits.size() == 1);
    CHECK(fixture.output.waits[0].phase == "running");
    CHECK_FALSE(fixture.output.waits[0].isWorkerResponsive);
    CHECK(fixture.output.waits[0].leaseRemainingMs > 0);
}

TEST_CASE("A task whose start was not answered is reported with the time until the attempt is over")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.submit(makeJob("job", { makeStep(1, 1000, 60'000) }), 1, fixture.now, testStartUnixMs);
    fixture.now += 400ms;
    fixture.scheduleAndCommit();
    REQUIRE(fixture.output.starts.size() == 1);
    CHECK(fixture.output.starts[0].answerAgeMs == 400);
    fixture.scheduler.onPollFailed("w0");
    fixture.scheduler.onPollFailed("w0");
    tick(fixture, 3500ms);
    REQUIRE(fixture.output.waits.size() == 1);
    CHECK(fixture.output.waits[0].phase == "stopping");
    CHECK(fixture.output.waits[0].runRemainingMs > fixture.output.waits[0].leaseRemainingMs);
}
