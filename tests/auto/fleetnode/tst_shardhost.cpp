#include "scriptedrowstore.h"

#include <fleetnode/shardhost.h>

#include <fleet/taillatencymodel.h>

#include <catch2/catch.hpp>

#include <optional>
#include <set>
#include <thread>

namespace {

/*! Calls to the workers, which answer nothing unless pollError is set. */
struct WorkerCalls {
    std::set<std::string> polledAddresses;
    std::optional<Utils::Error> pollError; //!< Answer of the worker that is not listed.
    std::vector<std::string> starts; //!< Addresses at which an attempt was started.
};

class ScriptedWorker final : public Ports::WorkerAgent {
public:
    ScriptedWorker(boost::asio::io_context& io, const Ports::WorkerInfo& info, WorkerCalls& calls)
        : io_(io)
        , info_(info)
        , calls_(calls)
    {
    }

    void start(const Ports::StartCommand&, CommandHandler) override
    {
        calls_.starts.push_back(info_.address);
    }
    void stop(const Ports::TaskKey&, std::uint32_t, std::uint64_t, CommandHandler) override { }
    void throttle(const Ports::TaskKey&, std::uint32_t, int, std::uint64_t, CommandHandler) override { }
    void poll(const Ports::PollRequest&, ReportHandler handler) override
    {
        const bool isFirst = calls_.polledAddresses.insert(info_.address).second;
        if (!isFirst)
            return;
        if (info_.id == "listed") {
            Ports::WorkerReport report;
            report.startedUnixMs = 7;
            report.clockMs = 1000;
            boost::asio::post(io_, [handler, report] { handler(report); });
        } else if (calls_.pollError) {
            boost::asio::post(io_, [handler, error = *calls_.pollError] { handler(error); });
        }
    }

private:
    boost::asio::io_context& io_;
    Ports::WorkerInfo info_;
    WorkerCalls& calls_;
};

class NoOtherShards final : public FleetNode::OtherShards {
public:
    std::string findShardWithCapacity(
        const std::string&, const FleetSchema::JobSpec&, std::uint32_t, Utils::Duration) override
    {
        return {};
    }
    void callOwner(const FleetSchema::PeerRequest&,
        std::function<void(const Utils::Result<FleetSchema::PeerReply>&)>) override
    {
    }
};

struct LeaseSettingsFixture : Testing::NodeFixture {
    LeaseSettingsFixture()
    {
        settings.mutable_dispatch()->set_worker_lease_ms(5000);
        settings.mutable_dispatch()->set_worker_lease_limit_ms(10'000);
        settings.mutable_dispatch()->set_orphan_grace_ms(12'000);
    }
};

/*! A successor of a shard with one job, whose attempt is recorded at a worker that the platform does not
 * list. */
struct SuccessorFixture : LeaseSettingsFixture {
    explicit SuccessorFixture(Utils::Duration listAge = {})
    {
        platform.makeWorkerAgent = [this](const Ports::WorkerInfo& info) {
            return std::make_unique<ScriptedWorker>(io, info, calls);
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
        store.rows[name] = { name, record.SerializeAsString(), 1, false };
        Ports::WorkerInfo listed;
        listed.id = "listed";
        listed.address = "127.0.0.1:8";
        listed.service = "service";
        listed.milliProcessors = 1000;
        host.setWorkers({ listed }, context.now() - listAge);
    }

    /*! Takes the shard over and lets 0.3 s pass. */
    void takeOver()
    {
        host.takeOver({}, 0);
        for (int round = 0; round < 15; ++round) {
            io.restart();
            io.poll();
            host.tick();
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    WorkerCalls calls;
    NoOtherShards others;
    Fleet::TailLatencyModel model;
    FleetNode::ShardHost host { context, "shard", others, model, [] {} };
};

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

    NoOtherShards others;
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
    FleetNode::ShardHost second(node.context, "shard", others, model, [&] { isClosed = true; });
    second.setWorkers({}, node.context.now());
    second.takeOver(former, 2);
    run(second, std::chrono::milliseconds(100));
    REQUIRE(second.isServing());
    second.release();
    run(second, std::chrono::milliseconds(200));
    REQUIRE(isClosed);

    FleetSchema::ShardRecord released;
    REQUIRE(released.ParseFromString(node.store.rows[ownerName].value));
    FleetNode::ShardHost third(node.context, "shard", others, model, [] {});
    third.setWorkers({}, node.context.now());
    third.takeOver(released, node.store.rows[ownerName].version);
    run(third, std::chrono::milliseconds(1000));
    REQUIRE(third.isServing());
    REQUIRE(record.ParseFromString(node.store.rows[name].value));
    CHECK(record.tasks(0).state() == FleetSchema::TASK_ASSIGNED);
}
