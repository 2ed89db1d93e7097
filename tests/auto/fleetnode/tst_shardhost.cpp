#include "scriptedrowstore.h"

#include <fleetnode/shardhost.h>

#include <fleet/taillatencymodel.h>

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

/*! Calls to the workers, which answer nothing unless pollError is set. */
struct WorkerCalls {
    std::set<std::string> polledAddresses;
    std::optional<Utils::Error> pollError; //!< Answer of the worker that is not listed.
    std::optional<Ports::WorkerReport> report; //!< Report of the worker that is not listed.
    std::vector<std::string> starts; //!< Addresses at which an attempt was started.
    std::function<void()> onStart; //!< If set, called with each start.
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
        if (calls_.onStart)
            calls_.onStart();
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
        } else if (calls_.report) {
            boost::asio::post(io_, [handler, report = *calls_.report] { handler(report); });
        }
    }

private:
    boost::asio::io_context& io_;
    Ports::WorkerInfo info_;
    WorkerCalls& calls_;
};

class NoOtherShards final : public FleetNode::OtherShards {
public:
    explicit NoOtherShards(boost::asio::io_context& io)
        : io_(io)
    {
    }

    std::string findShardWithCapacity(
        const std::string&, const FleetSchema::JobSpec&, std::uint32_t, Utils::Duration) override
    {
        return {};
    }
    void callOwner(const FleetSchema::PeerRequest&,
        std::function<void(const Utils::Result<FleetSchema::PeerReply>&)>) override
    {
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
    NoOtherShards others { io };
    Fleet::TailLatencyModel model;
    FleetNode::ShardHost host { context, "shard", others, model, [] {} };
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
            context, "shard", others, model, [this] { isClosed = true; });
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
        const Ports::RowKey name { FleetNode::shardTable, "shard", FleetNode::shardOwnerKey };
        store.rows[name] = { name, released.SerializeAsString(), 2, false };
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

    std::unique_ptr<FleetNode::ShardHost> owner;
    bool isClosed = false;
};

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

    NoOtherShards others { node.io };
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
    fixture.settings.mutable_dispatch()->set_worker_lease_limit_ms(2000);
    fixture.settings.mutable_dispatch()->set_orphan_grace_ms(0);
    for (int handover = 0; handover < 2; ++handover) {
        fixture.takeOver(std::chrono::milliseconds(500));
        REQUIRE(fixture.release());
    }
    fixture.takeOver(std::chrono::milliseconds(500));
    CHECK(fixture.calls.starts.empty());
    // 2.04 s after the first takeover, and 1 s after the last one, in which the worker could report.
    fixture.run(std::chrono::milliseconds(800));
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

TEST_CASE("A successor counts the wait for a silent worker from the former owner's last transaction")
{
    HandoverFixture fixture;
    fixture.startStoreClock();
    fixture.settings.mutable_dispatch()->set_worker_lease_ms(300);
    fixture.settings.mutable_dispatch()->set_orphan_grace_ms(2000);
    fixture.releaseByFirstOwner();
    fixture.listSilentWorker();
    fixture.takeOver(std::chrono::milliseconds(100));
    REQUIRE(fixture.owner->isServing());
    fixture.loseOwner();
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    // The former owner may renew leases until 2.04 s after its last transaction, for 0.306 s each.
    fixture.takeOver(std::chrono::milliseconds(1000));
    CHECK(fixture.calls.starts.empty());
    fixture.run(std::chrono::milliseconds(500));
    CHECK(fixture.calls.starts == std::vector<std::string> { "127.0.0.1:8" });
}

TEST_CASE("Without the store's clock a successor assumes that the former owner has just written")
{
    HandoverFixture fixture;
    fixture.settings.mutable_dispatch()->set_worker_lease_ms(300);
    fixture.settings.mutable_dispatch()->set_orphan_grace_ms(1000);
    fixture.releaseByFirstOwner();
    fixture.listSilentWorker();
    fixture.takeOver(std::chrono::milliseconds(100));
    fixture.loseOwner();
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    fixture.takeOver(std::chrono::milliseconds(1200));
    CHECK(fixture.calls.starts.empty());
    fixture.run(std::chrono::milliseconds(400));
    CHECK(fixture.calls.starts == std::vector<std::string> { "127.0.0.1:8" });
}

TEST_CASE("A successor of an owner that crashed waits for a worker that had left only until its stated end")
{
    HandoverFixture fixture;
    fixture.startStoreClock();
    fixture.settings.mutable_dispatch()->set_worker_lease_ms(1500);
    fixture.releaseByFirstOwner();
    fixture.takeOver(std::chrono::milliseconds(200));
    REQUIRE(fixture.owner->isServing());
    fixture.loseOwner();
    // The owner had found the worker neither listed nor answering, for which it waits 1.53 s. An owner that
    // cannot write renews leases of other workers for 12 s.
    fixture.takeOver(std::chrono::milliseconds(1100));
    CHECK(fixture.calls.starts.empty());
    fixture.run(std::chrono::milliseconds(600));
    CHECK(fixture.calls.starts == std::vector<std::string> { "127.0.0.1:8" });
}

TEST_CASE("A successor starts a task whose end its former owner took in as soon as that one tells so")
{
    HandoverFixture fixture;
    fixture.startStoreClock();
    fixture.releaseByFirstOwner();
    fixture.listSilentWorker();
    fixture.takeOver(std::chrono::milliseconds(100));
    fixture.loseOwner();
    // The former owner cannot be reached at first. It may renew leases for 12 s, as far as the row tells.
    fixture.takeOver(std::chrono::milliseconds(1100));
    CHECK(fixture.calls.starts.empty());
    REQUIRE(fixture.others.inquiries.size() >= 2);
    CHECK(fixture.others.inquiries[0] == "node-1/shard/2");
    fixture.others.leaseReport.emplace().set_is_known(true);
    fixture.run(std::chrono::milliseconds(800));
    CHECK(fixture.calls.starts == std::vector<std::string> { "127.0.0.1:8" });
    const std::size_t inquiryCount = fixture.others.inquiries.size();
    fixture.run(std::chrono::milliseconds(600));
    CHECK(fixture.others.inquiries.size() == inquiryCount);
}

TEST_CASE("A successor waits for an attempt that its former owner reports as open, or does not know of")
{
    FleetSchema::LeaseReport running;
    running.set_is_known(true);
    (*running.mutable_remaining_ms())["unlisted"] = 60'000;
    FleetSchema::LeaseReport unknown;
    FleetSchema::LeaseReport restarted;
    restarted.set_has_process_ended(true);
    for (const FleetSchema::LeaseReport& report : { running, unknown, restarted }) {
        HandoverFixture fixture;
        fixture.startStoreClock();
        fixture.settings.mutable_dispatch()->set_worker_lease_ms(1500);
        fixture.settings.mutable_dispatch()->set_orphan_grace_ms(1500);
        fixture.releaseByFirstOwner();
        fixture.listSilentWorker();
        fixture.takeOver(std::chrono::milliseconds(100));
        fixture.loseOwner();
        fixture.others.leaseReport = report;
        fixture.takeOver(std::chrono::milliseconds(1400));
        CHECK(fixture.calls.starts.empty());
        // 1.53 s of lease, and 1.53 s before it in which an owner whose process lives may renew.
        fixture.run(std::chrono::milliseconds(500));
        CHECK(fixture.calls.starts.size() == (report.has_process_ended() ? 1 : 0));
        fixture.run(std::chrono::milliseconds(1400));
        CHECK(fixture.calls.starts.size() == 1);
    }
}
