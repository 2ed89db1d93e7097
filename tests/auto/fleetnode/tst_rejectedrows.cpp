#include "shardhostfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Testing;

namespace {

using std::chrono::milliseconds;

/*! A shard whose store never accepts the row of the job "bad" if the row has attempts, or at all. */
struct RejectedRowFixture : HandoverFixture {
    RejectedRowFixture()
    {
        settings.mutable_dispatch()->set_retention_s(120);
        takeOver(milliseconds(50));
    }

    void rejectBadJob(bool onlyWithAttempts)
    {
        store.isInvalid = [onlyWithAttempts](const Ports::Transaction& transaction) {
            return std::any_of(
                transaction.puts.begin(), transaction.puts.end(), [&](const Ports::RowPut& put) {
                    FleetSchema::JobRecord record;
                    if (put.name.key != "bad" || !record.ParseFromString(put.value))
                        return false;
                    const auto isOpen
                        = [](const auto& task) { return task.state() == FleetSchema::TASK_ASSIGNED; };
                    return !onlyWithAttempts
                        || std::any_of(record.tasks().begin(), record.tasks().end(), isOpen);
                });
        };
    }

    void submit(const std::string& id)
    {
        FleetSchema::JobSpec spec;
        spec.set_id(id);
        spec.set_service("service");
        spec.add_steps()->set_count(1);
        // Too large for the worker at first, so that the job is stored without attempts.
        if (id == "bad")
            spec.mutable_steps(0)->set_milli_processors(2000);
        owner->submit(spec, [this, id](const Fleet::JobAnswer& answer) { answers[id] = answer.outcome; });
    }

    std::map<std::string, FleetSchema::PeerOutcome> answers;
};

} // namespace

TEST_CASE(
    "A job that the store never accepts is rejected, and the other jobs of its batches are stored and run")
{
    RejectedRowFixture fixture;
    fixture.rejectBadJob(false);
    for (const char* id : { "a", "b", "bad", "c", "d" })
        fixture.submit(id);
    fixture.run(milliseconds(600));
    for (const char* id : { "a", "b", "c", "d" }) {
        CHECK(fixture.answers[id] == FleetSchema::PEER_OK);
        CHECK(fixture.owner->state(id));
    }
    CHECK(fixture.answers["bad"] == FleetSchema::PEER_INVALID);
    CHECK_FALSE(fixture.owner->state("bad"));
    CHECK(fixture.calls.starts.size() == 4);
    CHECK_FALSE(fixture.isClosed);
}

TEST_CASE("An accepted job whose grown row the store never accepts ends as failed, and its shard goes on")
{
    RejectedRowFixture fixture;
    fixture.rejectBadJob(true);
    fixture.submit("bad");
    fixture.run(milliseconds(200));
    REQUIRE(fixture.answers["bad"] == FleetSchema::PEER_OK);
    fixture.listedWorkers.front().milliProcessors = 4000;
    fixture.owner->setWorkers(fixture.listedWorkers, fixture.context.now());
    fixture.submit("a");
    fixture.run(milliseconds(600));
    CHECK(fixture.answers["a"] == FleetSchema::PEER_OK);
    CHECK(fixture.calls.starts.size() == 1);
    CHECK(fixture.owner->state("bad") == FleetSchema::JOB_FAILED);
    // A successor finds the outcome too.
    REQUIRE(fixture.release());
    fixture.takeOver(milliseconds(200));
    CHECK(fixture.owner->state("bad") == FleetSchema::JOB_FAILED);
    CHECK(fixture.owner->state("a"));
}
