#pragma once

#include "scriptedrowstore.h"

#include <fleetnode/shardhost.h>

#include <fleet/taillatencymodel.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Testing {

/*! Calls to the workers, which answer nothing unless pollError is set. */
struct WorkerCalls {
    std::set<std::string> polledAddresses;
    std::optional<Utils::Error> pollError; //!< Answer of the worker that is not listed.
    std::optional<Ports::WorkerReport> report; //!< Report of the worker that is not listed.
    std::vector<std::string> starts; //!< Addresses at which an attempt was started.
    std::function<void()> onStart; //!< If set, called with each start.
    Ports::Authority latestAuthority; //!< Of the latest start.
    std::size_t stopCount = 0;
};

class ScriptedWorker final : public Ports::WorkerAgent {
public:
    ScriptedWorker(boost::asio::io_context& io, const Ports::WorkerInfo& info, WorkerCalls& calls)
        : io_(io)
        , info_(info)
        , calls_(calls)
    {
    }

    void start(const Ports::StartCommand& command, CommandHandler) override
    {
        calls_.starts.push_back(info_.address);
        calls_.latestAuthority = command.authority;
        if (calls_.onStart)
            calls_.onStart();
    }
    void stop(const Ports::TaskKey&, std::uint32_t, const Ports::Authority&, CommandHandler) override
    {
        ++calls_.stopCount;
    }
    void throttle(const Ports::TaskKey&, std::uint32_t, int, const Ports::Authority&, CommandHandler) override
    {
    }
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
        } else if (calls_.report) {
            boost::asio::post(io_, [handler, report = *calls_.report] { handler(report); });
        }
    }

private:
    boost::asio::io_context& io_;
    Ports::WorkerInfo info_;
    WorkerCalls& calls_;
};

/*! No other shards; former owners answer with leaseReport. */
class ScriptedOtherShards final : public FleetNode::OtherShards {
public:
    explicit ScriptedOtherShards(boost::asio::io_context& io)
        : io_(io)
    {
    }

    std::string findShardWithCapacity(const std::string&, const FleetSchema::JobSpec&, std::uint32_t,
        Utils::Duration, std::span<const std::string>) override
    {
        return {};
    }
    bool hasShardWithRoom(const std::string&, const FleetSchema::JobSpec&, std::uint32_t) override
    {
        return false;
    }
    std::vector<Fleet::GangShare> divideGang(const std::string&, const FleetSchema::JobSpec&, std::uint32_t,
        Utils::Duration, std::span<const std::string>) override
    {
        return {};
    }
    void callOwner(const FleetSchema::PeerRequest& request,
        std::function<void(const Utils::Result<FleetSchema::PeerReply>&)>) override
    {
        ownerCalls.push_back(request);
    }
    void callNode(const std::string& name, const FleetSchema::PeerRequest& request,
        std::function<void(const Utils::Result<FleetSchema::PeerReply>&)> handler) override
    {
        inquiries.push_back(
            name + "/" + request.shard() + "/" + std::to_string(request.lease_inquiry().epoch()));
        Utils::Result<FleetSchema::PeerReply> result
            = Utils::Error { Utils::ErrorCode::Unavailable, "peer.call", name, "no answer" };
        if (leaseReport) {
            FleetSchema::PeerReply reply;
            *reply.mutable_leases() = *leaseReport;
            result = reply;
        }
        boost::asio::post(io_, [handler = std::move(handler), result] { handler(result); });
    }

    std::vector<std::string> inquiries; //!< Node, shard and epoch of each question to a former owner.
    std::vector<FleetSchema::PeerRequest> ownerCalls; //!< Calls to owners of other shards.
    std::optional<FleetSchema::LeaseReport> leaseReport; //!< Answer to them; empty: there is none.

private:
    boost::asio::io_context& io_;
};

struct LeaseSettingsFixture : Testing::NodeFixture {
    LeaseSettingsFixture()
    {
        settings.mutable_dispatch()->set_worker_lease_ms(5000);
        settings.mutable_dispatch()->set_worker_lease_limit_ms(10'000);
        settings.mutable_dispatch()->set_orphan_grace_ms(12'000);
        membership.onHeartbeatStored(context.now());
    }

    Fleet::MembershipLease membership { std::chrono::hours(1) };
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
        task.set_confirmed(true);
        const Ports::RowKey name { FleetNode::jobTable, "shard", "job" };
        store.rows[name] = { name, record.SerializeAsString(), 1, false };
        Ports::WorkerInfo listed;
        listed.id = "listed";
        listed.address = "127.0.0.1:8";
        listed.service = "service";
        listed.milliProcessors = 1000;
        listedWorkers = { listed };
        host.setWorkers(listedWorkers, context.now() - listAge);
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

    std::vector<Ports::WorkerInfo> listedWorkers;
    WorkerCalls calls;
    ScriptedOtherShards others { io };
    Fleet::TailLatencyModel model;
    FleetNode::ShardHost host { context, "shard", others, membership, model, [] {} };
};

/*! Owners that pass the shard on; each one's first polls are answered as WorkerCalls says. */
struct HandoverFixture : SuccessorFixture {
    /*! Lets the next owner take the shard over and act for \p duration. */
    void takeOver(std::chrono::milliseconds duration)
    {
        const Ports::RowKey name { FleetNode::shardTable, "shard", FleetNode::shardOwnerKey };
        FleetSchema::ShardRecord former;
        former.ParseFromString(store.rows[name].value);
        calls.polledAddresses.clear();
        isClosed = false;
        owner = std::make_unique<FleetNode::ShardHost>(
            context, "shard", others, membership, model, [this] { isClosed = true; });
        owner->setWorkers(listedWorkers, context.now());
        Fleet::StoreClock storeClock;
        storeClock.onAnswer(store.clockMs ? store.clockMs() : 0, context.now(), context.now());
        owner->takeOver(former, store.rows[name].version, storeClock);
        run(duration);
    }

    /*! Sets the row that an owner leaves which released the shard, without attempts of earlier ones. */
    void releaseByFirstOwner()
    {
        FleetSchema::ShardRecord released;
        released.set_epoch(1);
        released.set_earlier_renewal_ms(0);
        released.set_lease_ms(settings.dispatch().worker_lease_ms());
        setOwnerRow(released);
    }

    void setOwnerRow(const FleetSchema::ShardRecord& record)
    {
        const Ports::RowKey name { FleetNode::shardTable, "shard", FleetNode::shardOwnerKey };
        store.rows[name] = { name, record.SerializeAsString(), 2, false };
    }

    /*! Lists the silent worker for the next owner, which therefore states no end for it. */
    void listSilentWorker()
    {
        listedWorkers.push_back(listedWorkers.front());
        listedWorkers.back().id = "unlisted";
        listedWorkers.back().address = "127.0.0.1:9";
    }

    /*!
        Ends the owner without a release, as a crash does. The next one runs on another node and finds only
        the worker that answers in the list.
    */
    void loseOwner()
    {
        owner.reset();
        listedWorkers.resize(1);
        settings.mutable_node()->set_name("node-2");
    }

    /*! Lets answers of the store state a clock that differs from that of the nodes. */
    void startStoreClock()
    {
        store.clockMs = [this, startedAt = context.now()] {
            return 5'000'000
                + std::chrono::duration_cast<std::chrono::milliseconds>(context.now() - startedAt).count();
        };
    }

    /*! \return whether the owner gave the shard up. */
    bool release()
    {
        owner->release();
        run(std::chrono::milliseconds(100));
        return isClosed;
    }

    void run(std::chrono::milliseconds duration)
    {
        const Utils::TimePoint end = context.now() + duration;
        while (context.now() < end) {
            io.restart();
            io.run_for(std::chrono::milliseconds(10));
            owner->tick();
        }
    }

    /*! \return when the first attempt was started; nothing if there was none within \p limit. */
    std::optional<Utils::TimePoint> runUntilStart(Utils::Duration limit)
    {
        const Utils::TimePoint end = context.now() + limit;
        while (calls.starts.empty() && context.now() < end)
            run(std::chrono::milliseconds(20));
        return calls.starts.empty() ? std::nullopt : std::optional(context.now());
    }

    std::unique_ptr<FleetNode::ShardHost> owner;
    bool isClosed = false;
};

} // namespace Testing
