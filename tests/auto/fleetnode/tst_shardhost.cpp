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
    SuccessorFixture()
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
        host.setWorkers({ listed });
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
