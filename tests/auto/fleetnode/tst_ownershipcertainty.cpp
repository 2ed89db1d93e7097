#include "shardhostfixture.h"

#include <catch2/catch.hpp>

using namespace Testing;

namespace {

using std::chrono::milliseconds;
using CommitBehavior = ScriptedRowStore::CommitBehavior;

constexpr milliseconds nodeTimeout { 200 };

/*! \return a long-running job of one task. */
FleetSchema::JobSpec makeLastingJob(const std::string& id)
{
    FleetSchema::JobSpec spec;
    spec.set_id(id);
    spec.set_service("service");
    spec.add_steps()->set_count(1);
    spec.mutable_steps(0)->set_lasting(true);
    return spec;
}

/*! The owner of a shard with one worker, on a node that other nodes take for dead after nodeTimeout. */
struct PausedOwnerFixture : HandoverFixture {
    PausedOwnerFixture()
    {
        membership = Fleet::MembershipLease(nodeTimeout);
        membership.onHeartbeatStored(context.now());
        takeOver(milliseconds(50));
        REQUIRE(owner->isServing());
    }

    /*! Lets the process freeze until other nodes take it for dead. */
    static void pause() { std::this_thread::sleep_for(nodeTimeout + milliseconds(20)); }

    /*! Submits a job and stops before the answer to the transaction that records its start. */
    void submitAndHoldAnswer()
    {
        store.commitBehaviors = { CommitBehavior::Hold };
        owner->submit(makeLastingJob("new"), [](const Fleet::JobAnswer&) {});
        run(milliseconds(60));
        REQUIRE(store.commitBehaviors.empty());
    }
};

} // namespace

TEST_CASE(
    "A start is not sent when the process was paused so long that a successor may have started the task")
{
    PausedOwnerFixture fixture;
    fixture.submitAndHoldAnswer();
    fixture.pause();
    fixture.store.releaseHeldCommits();
    fixture.run(milliseconds(100));
    CHECK(fixture.calls.starts.empty());
    // A heartbeat alone does not show that no successor has taken the shard over meanwhile.
    FleetSchema::ShardRecord taken;
    taken.set_owner("node-2");
    taken.set_epoch(9);
    fixture.setOwnerRow(taken);
    fixture.membership.onHeartbeatStored(fixture.context.now());
    fixture.run(milliseconds(100));
    CHECK(fixture.calls.starts.empty());
    CHECK(fixture.isClosed);
}

TEST_CASE("An owner that was paused goes on once a transaction after its next heartbeat is stored")
{
    PausedOwnerFixture fixture;
    fixture.submitAndHoldAnswer();
    fixture.pause();
    fixture.store.releaseHeldCommits();
    fixture.run(milliseconds(50));
    fixture.membership.onHeartbeatStored(fixture.context.now());
    CHECK(fixture.runUntilStart(milliseconds(150)));
    CHECK(fixture.calls.latestAuthority.sendBy <= fixture.membership.end());
}

TEST_CASE("An owner that may have a successor sends no stops and makes no calls to other shards")
{
    PausedOwnerFixture fixture;
    fixture.owner->submit(makeLastingJob("new"), [](const Fleet::JobAnswer&) {});
    REQUIRE(fixture.runUntilStart(milliseconds(100)));
    fixture.pause();
    // The start stays unanswered and is stopped after its timeout.
    fixture.run(milliseconds(1000));
    CHECK(fixture.calls.stopCount == 0);
    fixture.membership.onHeartbeatStored(fixture.context.now());
    fixture.run(milliseconds(150));
    fixture.membership.onHeartbeatStored(fixture.context.now());
    fixture.run(milliseconds(150));
    fixture.membership.onHeartbeatStored(fixture.context.now());
    fixture.run(milliseconds(150));
    CHECK(fixture.calls.stopCount > 0);
}

TEST_CASE("An owner that may have a successor does not answer for jobs that it does not know")
{
    PausedOwnerFixture fixture;
    std::vector<FleetSchema::PeerOutcome> outcomes;
    const auto ask = [&] {
        const auto onAnswer = [&](const Fleet::JobAnswer& answer) { outcomes.push_back(answer.outcome); };
        fixture.owner->cancel("unknown", onAnswer);
        FleetSchema::TaskResult result;
        result.set_job("unknown");
        fixture.owner->acceptTaskResult(result, onAnswer);
    };
    ask();
    CHECK(outcomes
        == std::vector<FleetSchema::PeerOutcome> { FleetSchema::PEER_UNKNOWN_JOB, FleetSchema::PEER_OK });
    fixture.pause();
    outcomes.clear();
    ask();
    CHECK(outcomes
        == std::vector<FleetSchema::PeerOutcome> {
            FleetSchema::PEER_NOT_OWNER, FleetSchema::PEER_NOT_OWNER });
    CHECK_FALSE(fixture.owner->canHostTasks());
}
