#include "fleetfixtures.h"

#include <catch2/catch.hpp>

#include <array>

using namespace std::chrono_literals;
using namespace Testing;
using Ports::CommandOutcome;

namespace {

constexpr std::array rejections { CommandOutcome::Fenced, CommandOutcome::Superseded,
    CommandOutcome::LeaseExpired, CommandOutcome::InsufficientCapacity, CommandOutcome::InvalidTicket,
    CommandOutcome::Invalid, CommandOutcome::Rejected, CommandOutcome::IncarnationMismatch };

// Two workers and one task whose start was sent to one of them.
struct StartFixture : SchedulerFixture {
    StartFixture()
        : SchedulerFixture(2)
    {
        scheduler.submit(makeJob("job", { makeStep(1, 1000, 500) }), 1, now, testStartUnixMs);
        scheduleAndCommit();
        REQUIRE(output.starts.size() == 1);
        start = output.starts[0];
    }

    void answerStart(CommandOutcome outcome, bool isToRepeatedCommand)
    {
        scheduler.onStartReply(start.worker, start.task, start.attempt,
            Ports::CommandReply { outcome, 0, isToRepeatedCommand }, now);
    }

    void answerStop(CommandOutcome outcome)
    {
        scheduler.onStopReply(
            start.worker, start.task, start.attempt, Ports::CommandReply { outcome, 0, false }, now);
    }

    // Lets time pass in which both workers report; the one with the start as told.
    void advance(Utils::Duration duration, const Ports::WorkerReport& content)
    {
        for (const Utils::TimePoint end = now + duration; now < end;) {
            now += 50ms;
            for (const std::string& worker : workers)
                report(worker, worker == start.worker ? content : Ports::WorkerReport());
            scheduler.onTick(now, testStartUnixMs);
            scheduleAndCommit();
        }
    }

    Fleet::AttemptStart start;
};

Ports::WorkerReport reportOfRun(const Fleet::AttemptStart& start)
{
    Ports::WorkerReport report;
    report.running.push_back({ start.task, start.attempt, {}, 10, 1000 });
    return report;
}

} // namespace

// Guards against second runs: the worker carried out the first sending of the start.
TEST_CASE("A start is not sent elsewhere because its second sending was rejected")
{
    for (const CommandOutcome rejection : rejections) {
        CAPTURE(static_cast<int>(rejection));
        StartFixture fixture;
        fixture.answerStart(rejection, true);
        fixture.advance(2s, reportOfRun(fixture.start));
        CHECK(fixture.output.starts.size() == 1);
        REQUIRE_FALSE(fixture.output.stops.empty());
    }
}

TEST_CASE("A start whose second sending was rejected may have been completed")
{
    StartFixture fixture;
    fixture.answerStart(CommandOutcome::Superseded, true);
    Ports::WorkerReport content;
    content.ended.push_back(
        { 1, fixture.start.task, fixture.start.attempt, Ports::AttemptOutcome::Done, {} });
    fixture.advance(1s, content);
    CHECK(fixture.output.starts.size() == 1);
    CHECK(fixture.scheduler.state("job") == FleetSchema::JOB_COMPLETED);
}

TEST_CASE("A task is started again once a report shows that the first sending was not carried out either")
{
    StartFixture fixture;
    fixture.answerStart(CommandOutcome::Rejected, true);
    fixture.answerStop(CommandOutcome::Done);
    fixture.advance(1s, {});
    REQUIRE(fixture.output.starts.size() == 2);
    CHECK(fixture.output.starts[1].worker != fixture.start.worker);
}

TEST_CASE("A start that was sent once and rejected is sent elsewhere")
{
    for (const CommandOutcome rejection : rejections) {
        CAPTURE(static_cast<int>(rejection));
        StartFixture fixture;
        fixture.answerStart(rejection, false);
        fixture.advance(500ms, {});
        REQUIRE(fixture.output.starts.size() == 2);
        CHECK(fixture.output.starts[1].worker != fixture.start.worker);
        CHECK(fixture.output.stops.empty());
    }
}

// Guards against second runs: the stop did not reach the worker, which may carry out the start later.
TEST_CASE("A stop that the worker has rejected does not show that an attempt is over")
{
    for (const CommandOutcome rejection : rejections) {
        if (rejection == CommandOutcome::Superseded)
            continue;
        CAPTURE(static_cast<int>(rejection));
        StartFixture fixture;
        fixture.answerStart(CommandOutcome::Rejected, true);
        fixture.answerStop(rejection);
        fixture.advance(2s, {});
        CHECK(fixture.output.starts.size() == 1);
        CHECK(fixture.output.stops.size() > 2);
    }
}
