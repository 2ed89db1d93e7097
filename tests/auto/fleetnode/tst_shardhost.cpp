#include "shardhostfixture.h"

#include <catch2/catch.hpp>

using namespace Testing;

namespace {

/*! \return a report with the attempt of SuccessorFixture. */
Ports::WorkerReport makeReportOfAttempt()
{
    Ports::WorkerReport report;
    report.startedUnixMs = 7;
    report.clockMs = 1000;
    report.running.push_back({ { "job", 0, 0, 0 }, 1, {}, 10, 1000 });
    return report;
}

} // namespace

TEST_CASE("A successor polls a worker with recorded attempts also if the platform does not list it")
{
    SuccessorFixture fixture;
    fixture.takeOver();
    REQUIRE(fixture.host.isServing());
    CHECK(fixture.calls.polledAddresses == std::set<std::string> { "127.0.0.1:8", "127.0.0.1:9" });
    CHECK(fixture.calls.starts.empty());
}

TEST_CASE("A task is started elsewhere at once when another worker answers in the place of its own")
{
    SuccessorFixture fixture;
    fixture.calls.pollError = Utils::Error { Utils::ErrorCode::NotFound, "worker.poll", "127.0.0.1:9",
        "another worker answered" };
    fixture.takeOver();
    CHECK(fixture.calls.starts == std::vector<std::string> { "127.0.0.1:8" });
}

TEST_CASE("A list of workers that was read long ago leads to no start, however late the shard gets it")
{
    SuccessorFixture fixture(std::chrono::seconds(4));
    fixture.calls.pollError = Utils::Error { Utils::ErrorCode::NotFound, "worker.poll", "127.0.0.1:9",
        "another worker answered" };
    fixture.takeOver();
    REQUIRE(fixture.host.isServing());
    CHECK(fixture.calls.starts.empty());
}

TEST_CASE("A successor of an owner that released soon after a takeover waits for the owner before that")
{
    Testing::NodeFixture node;
    node.settings.mutable_dispatch()->set_worker_lease_ms(100);
    node.settings.mutable_dispatch()->set_worker_lease_limit_ms(100);
    node.settings.mutable_dispatch()->set_orphan_grace_ms(3000);
    WorkerCalls calls;
    node.platform.makeWorkerAgent = [&](const Ports::WorkerInfo& info) {
        return std::make_unique<ScriptedWorker>(node.io, info, calls);
    };
    FleetSchema::JobRecord record;
    record.mutable_spec()->set_id("job");
    record.mutable_spec()->set_service("service");
    FleetSchema::StepSpec& step = *record.mutable_spec()->add_steps();
    step.set_count(1);
    step.set_estimate_ms(60'000);
    record.set_state(FleetSchema::JOB_RUNNING);
    FleetSchema::TaskRecord& task = *record.add_tasks();
    task.set_state(FleetSchema::TASK_ASSIGNED);
    task.set_attempt(1);
    task.set_worker("unlisted");
    task.set_worker_address("127.0.0.1:9");
    const Ports::RowKey name { FleetNode::jobTable, "shard", "job" };
    const Ports::RowKey ownerName { FleetNode::shardTable, "shard", FleetNode::shardOwnerKey };
    node.store.rows[name] = { name, record.SerializeAsString(), 1, false };
    // Owner "x" is cut off from the store, but not from the worker, and renews its leases for 3 s.
    FleetSchema::ShardRecord former;
    former.set_owner("x");
    former.set_epoch(1);
    node.store.rows[ownerName] = { ownerName, former.SerializeAsString(), 2, false };

    ScriptedOtherShards others { node.io };
    Fleet::MembershipLease membership { std::chrono::hours(1) };
    membership.onHeartbeatStored(node.context.now());
    Fleet::TailLatencyModel model;
    const auto run = [&](FleetNode::ShardHost& host, std::chrono::milliseconds duration) {
        const auto end = node.context.now() + duration;
        while (node.context.now() < end) {
            node.io.restart();
            node.io.run_for(std::chrono::milliseconds(20));
            host.tick();
        }
    };
    bool isClosed = false;
    FleetNode::ShardHost second(node.context, "shard", others, membership, model, [&] { isClosed = true; });
    second.setWorkers({}, node.context.now());
    second.takeOver(former, 2);
    run(second, std::chrono::milliseconds(100));
    REQUIRE(second.isServing());
    second.release();
    run(second, std::chrono::milliseconds(200));
    REQUIRE(isClosed);

    FleetSchema::ShardRecord released;
    REQUIRE(released.ParseFromString(node.store.rows[ownerName].value));
    FleetNode::ShardHost third(node.context, "shard", others, membership, model, [] {});
    third.setWorkers({}, node.context.now());
    third.takeOver(released, node.store.rows[ownerName].version);
    run(third, std::chrono::milliseconds(1000));
    REQUIRE(third.isServing());
    REQUIRE(record.ParseFromString(node.store.rows[name].value));
    CHECK(record.tasks(0).state() == FleetSchema::TASK_ASSIGNED);
}

TEST_CASE("A successor waits for a silent worker no longer than the owner that released the shard would")
{
    HandoverFixture fixture;
    fixture.settings.mutable_dispatch()->set_worker_lease_ms(1500);
    fixture.calls.report = makeReportOfAttempt();
    fixture.takeOver(std::chrono::milliseconds(300));
    REQUIRE(fixture.owner->isServing());
    REQUIRE(fixture.release());
    // The worker answers nobody any more; its lease was renewed for 1.5 s, its longest lease is 10 s.
    fixture.calls.report.reset();
    fixture.takeOver(std::chrono::milliseconds(400));
    CHECK(fixture.calls.starts.empty());
    fixture.run(std::chrono::milliseconds(1400));
    CHECK(fixture.calls.starts == std::vector<std::string> { "127.0.0.1:8" });
}

TEST_CASE("The wait for a silent worker does not begin anew with each handover")
{
    HandoverFixture fixture;
    fixture.startStoreClock();
    fixture.settings.mutable_dispatch()->set_worker_lease_limit_ms(2000);
    fixture.settings.mutable_dispatch()->set_orphan_grace_ms(500);
    FleetSchema::ShardRecord former;
    former.set_owner("x");
    former.set_epoch(1);
    fixture.setOwnerRow(former);
    for (int handover = 0; handover < 2; ++handover) {
        fixture.takeOver(std::chrono::milliseconds(500));
        REQUIRE(fixture.release());
    }
    fixture.takeOver(std::chrono::milliseconds(500));
    CHECK(fixture.calls.starts.empty());
    // 2.54 s after the first takeover, and 1 s after the last one, in which the worker could report.
    fixture.run(std::chrono::milliseconds(1200));
    CHECK(fixture.calls.starts == std::vector<std::string> { "127.0.0.1:8" });
}

TEST_CASE("No start is sent after the transaction that releases the shard, however many were recorded")
{
    HandoverFixture fixture;
    fixture.takeOver(std::chrono::milliseconds(100));
    REQUIRE(fixture.owner->isServing());
    FleetSchema::JobSpec spec;
    spec.set_service("service");
    spec.add_steps()->set_count(1);
    // More than one transaction can record.
    constexpr std::size_t jobCount = 150;
    for (std::size_t number = 0; number < jobCount; ++number) {
        spec.set_id("job" + std::to_string(number));
        fixture.owner->submit(spec, [](const Fleet::JobAnswer&) {});
    }
    std::size_t lateStarts = 0;
    fixture.calls.onStart = [&] {
        // The first start is sent while the later ones are not recorded yet.
        fixture.owner->release();
        FleetSchema::ShardRecord stored;
        stored.ParseFromString(
            fixture.store.rows[{ FleetNode::shardTable, "shard", FleetNode::shardOwnerKey }].value);
        lateStarts += stored.owner().empty() ? 1 : 0;
    };
    fixture.run(std::chrono::milliseconds(300));
    CHECK(fixture.isClosed);
    CHECK(fixture.calls.starts.size() == jobCount);
    CHECK(lateStarts == 0);
}
