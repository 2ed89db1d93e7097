// A new owner of a shard that hosts tasks of jobs of other shards.

#include "transferfixture.h"

using namespace std::chrono_literals;
using namespace Testing;

namespace {

/*! A host shard with a new owner, as the former one stored a delegated task that has no attempt. */
struct SuccessorFixture : SchedulerFixture {
    SuccessorFixture()
        : SchedulerFixture(2)
    {
        FleetSchema::JobRecord record;
        *record.mutable_spec() = makeJob("job", { makeStep(1, 1000, 500) });
        record.set_state(FleetSchema::JOB_RUNNING);
        record.set_origin_shard("origin");
        record.add_tasks()->set_transfer(1);
        scheduler.restore(record, now, testStartUnixMs);
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

TEST_CASE("A hosted task waits for its origin shard for 1.5 s at most")
{
    SuccessorFixture fixture;
    fixture.advance(1400ms);
    CHECK(fixture.output.starts.empty());
    CHECK(fixture.output.originQueries.size() > 2);
    fixture.advance(600ms);
    CHECK(fixture.output.starts.size() == 1);
}
