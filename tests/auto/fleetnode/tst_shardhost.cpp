#include "scriptedrowstore.h"

#include <fleetnode/shardhost.h>

#include <fleet/taillatencymodel.h>

#include <catch2/catch.hpp>

#include <set>

namespace {

/*! Records which workers are polled; nothing is answered. */
class SilentWorker final : public Ports::WorkerAgent {
public:
    SilentWorker(const Ports::WorkerInfo& info, std::set<std::string>& polledAddresses)
        : address_(info.address)
        , polledAddresses_(polledAddresses)
    {
    }

    void start(const Ports::StartCommand&, CommandHandler) override { }
    void stop(const Ports::TaskKey&, std::uint32_t, std::uint64_t, CommandHandler) override { }
    void throttle(const Ports::TaskKey&, std::uint32_t, int, std::uint64_t, CommandHandler) override { }
    void poll(const Ports::PollRequest&, ReportHandler) override { polledAddresses_.insert(address_); }

private:
    std::string address_;
    std::set<std::string>& polledAddresses_;
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

} // namespace

TEST_CASE("A successor polls a worker with recorded attempts also if the platform does not list it")
{
    Testing::NodeFixture node;
    node.settings.mutable_dispatch()->set_worker_lease_ms(5000);
    node.settings.mutable_dispatch()->set_worker_lease_limit_ms(10'000);
    node.settings.mutable_dispatch()->set_orphan_grace_ms(12'000);
    std::set<std::string> polledAddresses;
    node.platform.makeWorkerAgent = [&](const Ports::WorkerInfo& info) {
        return std::make_unique<SilentWorker>(info, polledAddresses);
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
    node.store.rows[name] = { name, record.SerializeAsString(), 1, false };

    NoOtherShards others;
    Fleet::TailLatencyModel model;
    FleetNode::ShardHost host(node.context, "shard", others, model, [] {});
    host.setWorkers({});
    host.takeOver({}, 0);
    for (int round = 0; round < 10; ++round) {
        node.io.restart();
        node.io.poll();
    }
    REQUIRE(host.isServing());
    CHECK(polledAddresses == std::set<std::string> { "127.0.0.1:9" });
}
