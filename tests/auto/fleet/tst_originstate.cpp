// A new owner of a shard that hosts tasks of jobs of other shards.

#include "transferfixture.h"

#include <set>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

/*! \return the record of a job with a delegated task that has no attempt. */
FleetSchema::JobRecord hostedRecord(const std::string& id)
{
    FleetSchema::JobRecord record;
    *record.mutable_spec() = makeJob(id, { makeStep(1, 1000, 500) });
    record.set_state(FleetSchema::JOB_RUNNING);
    record.set_origin_shard("origin");
    record.add_tasks()->set_transfer(1);
    return record;
}

/*! A host shard with a new owner. */
struct SuccessorFixture : SchedulerFixture {
    SuccessorFixture()
        : SchedulerFixture(2)
    {
        scheduler.restore(hostedRecord("job"), now, testStartUnixMs);
    }

    void advance(Utils::Duration duration)
    {
        const Utils::TimePoint end = now + duration;
        while (now < end) {
            now += 100ms;
            finishAttempts(0, Ports::AttemptOutcome::Done);
            scheduler.onTick(now, testStartUnixMs);
            scheduleAndCommit();
            confirmStarts();
        }
    }
};

} // namespace

TEST_CASE("A task of a job that was cancelled while its host shard had no owner is not started")
{
    SuccessorFixture fixture;
    fixture.advance(200ms);
    REQUIRE(fixture.output.originQueries.size() == 1);
    CHECK(fixture.output.originQueries[0] == std::pair<std::string, std::string>("origin", "job"));
    fixture.scheduler.onOriginState("job", FleetSchema::JOB_CANCELLED, testStartUnixMs);
    fixture.advance(5s);
    CHECK(fixture.output.starts.empty());
    CHECK(fixture.scheduler.state("job") == FleetSchema::JOB_CANCELLED);
}

TEST_CASE("A hosted task is started as soon as its origin shard has confirmed the job")
{
    SuccessorFixture fixture;
    fixture.advance(200ms);
    CHECK(fixture.output.starts.empty());
    fixture.scheduler.onOriginState("job", FleetSchema::JOB_RUNNING, testStartUnixMs);
    fixture.advance(100ms);
    CHECK(fixture.output.starts.size() == 1);
}

// Guards against starts of a cancelled job: without an answer, nothing tells that it is still active.
TEST_CASE("A hosted task is not started as long as nothing tells the job's state")
{
    SuccessorFixture fixture;
    fixture.advance(10s);
    CHECK(fixture.output.starts.empty());
    CHECK(fixture.output.originQueries.size() > 20);
}

TEST_CASE("The state of a job whose origin shard does not answer is read from the store and decides")
{
    SuccessorFixture fixture;
    fixture.advance(200ms);
    CHECK(fixture.output.originReads.empty());
    fixture.advance(300ms);
    REQUIRE(fixture.output.originReads.size() == 1);
    CHECK(fixture.output.originReads[0] == std::pair<std::string, std::string>("origin", "job"));
    SECTION("it is active")
    {
        fixture.scheduler.onOriginState("job", FleetSchema::JOB_RUNNING, testStartUnixMs);
        fixture.advance(100ms);
        CHECK(fixture.output.starts.size() == 1);
    }
    SECTION("it was cancelled")
    {
        fixture.scheduler.onOriginState("job", FleetSchema::JOB_CANCELLED, testStartUnixMs);
        fixture.advance(5s);
        CHECK(fixture.output.starts.empty());
    }
}

// Guards against a task that waits because there are many other jobs before it.
TEST_CASE("All jobs whose tasks wait for their origin shards are asked about in turn")
{
    SchedulerFixture fixture { 1 };
    constexpr std::size_t jobCount = 90;
    for (std::size_t number = 0; number < jobCount; ++number)
        fixture.scheduler.restore(hostedRecord("job" + std::to_string(number)), fixture.now, testStartUnixMs);
    for (int tick = 0; tick < 20; ++tick) {
        fixture.now += 100ms;
        fixture.finishAttempts(0, Ports::AttemptOutcome::Done);
        fixture.scheduler.onTick(fixture.now, testStartUnixMs);
        fixture.scheduleAndCommit();
    }
    std::set<std::pair<std::string, std::string>> jobs(
        fixture.output.originReads.begin(), fixture.output.originReads.end());
    CHECK(jobs.size() == jobCount);
}
