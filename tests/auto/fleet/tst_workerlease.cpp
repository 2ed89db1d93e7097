#include "fleetfixtures.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

/*! A worker that was idle for a while when a task was started there, and another one. */
struct LeaseFixture : SchedulerFixture {
    LeaseFixture()
        : SchedulerFixture(2)
    {
        now += 60s;
        for (const std::string& worker : workers)
            report(worker, {});
        scheduler.submit(makeJob("job", { makeStep(1, 1000, 9000) }), 1, now, testStartUnixMs);
        scheduleAndCommit();
    }

    /*! Lets time pass while the worker of the first start answers nothing. */
    void advance(Utils::Duration duration)
    {
        const Utils::TimePoint end = now + duration;
        while (now < end) {
            now += 100ms;
            scheduler.onTick(now, testStartUnixMs);
            scheduleAndCommit();
        }
    }

    const std::string& firstWorker() const { return output.starts[0].worker; }

    void loseReply()
    {
        const Utils::Error unknown { Utils::ErrorCode::OutcomeUnknown, "start", firstWorker(), "no answer" };
        scheduler.onStartReply(firstWorker(), output.starts[0].task, output.starts[0].attempt, unknown, now);
    }
};

} // namespace

TEST_CASE("A task whose start is lost on a worker without tasks is soon started elsewhere")
{
    LeaseFixture fixture;
    REQUIRE(fixture.output.starts.size() == 1);
    fixture.advance(700ms);
    fixture.loseReply();
    // The lease of the start, 3 s on a clock that may be 2% slow, is not renewed.
    for (int poll = 0; poll < 4; ++poll) {
        CHECK(fixture.scheduler.planPoll(fixture.firstWorker(), fixture.now, true).leaseUntilMs == 0);
        fixture.scheduler.onPollFailed(fixture.firstWorker());
        fixture.advance(500ms);
    }
    fixture.advance(300ms);
    CHECK(fixture.output.starts.size() == 1);
    fixture.advance(200ms);
    REQUIRE(fixture.output.starts.size() == 2);
    CHECK(fixture.output.starts[1].worker != fixture.firstWorker());
}

TEST_CASE("A worker without tasks gets no lease, and a start only a short one")
{
    LeaseFixture fixture;
    const std::int64_t clockMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(fixture.now.time_since_epoch()).count();
    CHECK(fixture.output.starts[0].leaseUntilMs == clockMs + 3000);
    const std::string idle = fixture.firstWorker() == "w0" ? "w1" : "w0";
    CHECK(fixture.scheduler.planPoll(idle, fixture.now, true).leaseUntilMs == 0);
    CHECK(
        fixture.scheduler.planPoll(fixture.firstWorker(), fixture.now, true).leaseUntilMs == clockMs + 5000);
    CHECK(fixture.scheduler.planPoll(fixture.firstWorker(), fixture.now, false).leaseUntilMs == 0);
}

TEST_CASE("A worker that does not answer a start gets no other task until it has reported")
{
    LeaseFixture fixture;
    fixture.loseReply();
    fixture.scheduler.submit(makeJob("wide", { makeStep(40, 1000, 500) }), 2, fixture.now, testStartUnixMs);
    fixture.scheduleAndCommit();
    REQUIRE(fixture.output.starts.size() > 1);
    for (std::size_t number = 1; number < fixture.output.starts.size(); ++number)
        CHECK(fixture.output.starts[number].worker != fixture.firstWorker());
    const std::size_t startCount = fixture.output.starts.size();
    fixture.report(fixture.firstWorker(), {});
    fixture.scheduleAndCommit();
    CHECK(fixture.output.starts.size() > startCount);
}

TEST_CASE("A successor waits for leases of a former owner only as long as that one may still renew them")
{
    SchedulerFixture owner(1);
    owner.scheduler.submit(makeJob("job", { makeStep(1, 1000, 9000) }), 1, owner.now, testStartUnixMs);
    owner.scheduler.schedule(owner.now, testStartUnixMs);
    const auto batch = owner.scheduler.beginCommit(testStartUnixMs);
    REQUIRE(batch);
    FleetSchema::JobRecord record;
    REQUIRE(record.ParseFromString(batch->puts[0].second));
    for (const bool isFormerOwnerGone : { false, true }) {
        SchedulerFixture successor(0);
        if (isFormerOwnerGone)
            successor.scheduler.setFormerRenewal({});
        successor.scheduler.restore(record, successor.now, testStartUnixMs);
        Ports::WorkerInfo other = makeWorkerInfo("other");
        successor.scheduler.setWorkers({ other }, successor.now);
        successor.workers = { "other" };
        // 12 s of renewal by an owner without the store, and 10 s of lease on a clock that is 2% slow.
        const Utils::Duration bound = isFormerOwnerGone ? 10'200ms : 22'200ms;
        successor.now += bound - 100ms;
        successor.report("other", {});
        successor.scheduler.onTick(successor.now, testStartUnixMs);
        successor.scheduleAndCommit();
        CHECK(successor.output.starts.empty());
        successor.now += 200ms;
        successor.scheduler.onTick(successor.now, testStartUnixMs);
        successor.scheduleAndCommit();
        CHECK(successor.output.starts.size() == 1);
    }
}

TEST_CASE("A successor knows the address of a worker that the platform does not list")
{
    SchedulerFixture owner(1);
    owner.scheduler.submit(makeJob("job", { makeStep(1, 1000, 9000) }), 1, owner.now, testStartUnixMs);
    owner.scheduler.schedule(owner.now, testStartUnixMs);
    const auto batch = owner.scheduler.beginCommit(testStartUnixMs);
    REQUIRE(batch);
    FleetSchema::JobRecord record;
    REQUIRE(record.ParseFromString(batch->puts[0].second));
    SchedulerFixture successor(0);
    successor.scheduler.restore(record, successor.now, testStartUnixMs);
    const auto unlisted = successor.scheduler.unlistedWorkers();
    REQUIRE(unlisted.size() == 1);
    CHECK(unlisted[0].id == "w0");
    CHECK(unlisted[0].address == "127.0.0.1:1");
}

TEST_CASE("Attempts end with their worker when another one answers in its place, whatever its lease")
{
    SchedulerFixture owner(1);
    owner.scheduler.submit(makeJob("job", { makeStep(1, 1000, 9000) }), 1, owner.now, testStartUnixMs);
    owner.scheduler.schedule(owner.now, testStartUnixMs);
    const auto batch = owner.scheduler.beginCommit(testStartUnixMs);
    REQUIRE(batch);
    FleetSchema::JobRecord record;
    REQUIRE(record.ParseFromString(batch->puts[0].second));
    SchedulerFixture successor(0);
    successor.scheduler.restore(record, successor.now, testStartUnixMs);
    successor.scheduler.setWorkers({ makeWorkerInfo("other") }, successor.now);
    successor.report("other", {});
    successor.scheduleAndCommit();
    CHECK(successor.output.starts.empty());
    successor.scheduler.onWorkerReplaced("w0", successor.now, testStartUnixMs);
    successor.scheduleAndCommit();
    REQUIRE(successor.output.starts.size() == 1);
    CHECK(successor.output.starts[0].worker == "other");
    CHECK(successor.output.starts[0].attempt == 2);
}

TEST_CASE("Attempts end with a worker that is not listed and does not listen any more, whatever its lease")
{
    SchedulerFixture fixture(2);
    fixture.scheduler.submit(makeJob("job", { makeStep(1, 1000, 9000) }), 1, fixture.now, testStartUnixMs);
    fixture.scheduleAndCommit();
    fixture.confirmStarts();
    const std::string left = fixture.output.starts[0].worker;
    const std::string other = left == "w0" ? "w1" : "w0";
    const auto fail = [&](bool isAbsent) {
        fixture.scheduler.onPollFailed(left, isAbsent);
        fixture.now += 300ms;
        fixture.report(other, {});
        fixture.scheduler.onTick(fixture.now, testStartUnixMs);
        fixture.scheduleAndCommit();
    };
    // Listed, it may be about to restart.
    fail(true);
    fail(true);
    CHECK(fixture.output.starts.size() == 1);
    fixture.scheduler.setWorkers({ makeWorkerInfo(other) }, fixture.now);
    // Cut off, it may still run the attempt.
    fail(false);
    fail(true);
    CHECK(fixture.output.starts.size() == 1);
    fail(true);
    REQUIRE(fixture.output.starts.size() == 2);
    CHECK(fixture.output.starts[1].worker == other);
}

TEST_CASE("One lost poll does not cost a worker that has answered a start its lease")
{
    LeaseFixture fixture;
    // The poll that was in flight when the start was sent carries no lease and is lost: it times out
    // after 1.5 s + 0.7 s, and the connection pauses for 0.25 s.
    fixture.now += 50ms;
    fixture.confirmStarts();
    fixture.now += 2150ms;
    fixture.scheduler.onPollFailed(fixture.firstWorker());
    fixture.now += 250ms;
    // This poll is answered after 0.4 s and the round trip; a lease requested only with the next one
    // comes 2.85 s and 1.5 round trips after the start, whose lease is 3 s.
    CHECK(fixture.scheduler.planPoll(fixture.firstWorker(), fixture.now, true).leaseUntilMs > 0);
}
