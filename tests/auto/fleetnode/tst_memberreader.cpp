#include "scriptedrowstore.h"

#include <fleetnode/memberreader.h>

#include <catch2/catch.hpp>

#include <memory>
#include <set>

using namespace std::chrono_literals;

namespace {

class ManualClock final : public Utils::Clock {
public:
    Utils::TimePoint now() const override { return time; }

    Utils::TimePoint time { 1000s };
};

/*! How a node answers the calls of others. */
enum class PeerBehavior {
    Answer,
    Fail,
    Pause, //!< Answers, but with a view that got old meanwhile.
};

struct Fleet40;

/*! A node of the fleet with its view of the members. */
struct TestNode {
    TestNode(Fleet40& fleet, const std::string& name, const std::string& domain, double processors);

    Schema::NodeDaemonSettings settings;
    Fleet::MemberView view;
    FleetSchema::NodeRecord record;
    std::unique_ptr<FleetNode::NodeContext> context;
    std::unique_ptr<FleetNode::MemberReader> reader;
    PeerBehavior behavior = PeerBehavior::Answer;
    int updates = 0;
    int failures = 0;
    std::uint64_t mapVersion = 0;
};

/*! 40 nodes in two failure domains that share a store and call one another without a network. */
struct Fleet40 {
    explicit Fleet40(int perDomain = 20)
    {
        for (const char* domain : { "d1", "d2" }) {
            for (int number = 0; number < perDomain; ++number) {
                const std::string name = std::string(domain) + "-" + std::to_string(100 + number);
                nodes[name] = std::make_unique<TestNode>(*this, name, domain, number == 0 ? 0.5 : 0.07);
            }
        }
    }

    void call(const std::string& name, const FleetSchema::PeerRequest& request,
        FleetNode::MemberReader::ReplyHandler handler)
    {
        TestNode& node = *nodes.at(name);
        ++callCount;
        if (node.behavior == PeerBehavior::Fail) {
            const Utils::Error error { Utils::ErrorCode::OutcomeUnknown, "peer.call", name, "no answer" };
            return boost::asio::post(io, [handler = std::move(handler), error] { handler(error); });
        }
        node.reader->serve(
            request.members(), [this, &node, handler = std::move(handler)](FleetSchema::PeerReply reply) {
                if (node.behavior == PeerBehavior::Pause)
                    reply.mutable_members()->set_age_ms(6000);
                boost::asio::post(io, [handler, reply] { handler(reply); });
            });
    }

    void writeHeartbeat(TestNode& node)
    {
        Ports::Transaction transaction;
        transaction.puts.push_back(
            { { FleetNode::nodeTable, {}, FleetNode::nodeKeyPrefix + node.record.name() },
                node.record.SerializeAsString() });
        store.commit(transaction, [](const auto&) {});
    }

    /*! One heartbeat interval of all nodes; relays read last, so that all requests wait for them. */
    void runRound(bool mayUseRelay = true)
    {
        clock.time += 700ms;
        for (const auto& [name, node] : nodes) {
            if (!silent.contains(name))
                writeHeartbeat(*node);
        }
        for (const bool isRelay : { false, true }) {
            for (const auto& [name, node] : nodes) {
                if (name.ends_with("-100") == isRelay)
                    node->reader->read(mayUseRelay);
            }
        }
        io.restart();
        io.poll();
    }

    boost::asio::io_context io { 1 };
    ManualClock clock;
    Testing::ScriptedRowStore store { io };
    Ports::PlatformBinding platform;
    Telemetry::Metrics metrics;
    std::map<std::string, std::unique_ptr<TestNode>> nodes;
    std::set<std::string> silent; //!< Nodes that write no heartbeats.
    int callCount = 0;
};

TestNode::TestNode(Fleet40& fleet, const std::string& name, const std::string& domain, double processors)
    : view(name, 2500ms)
{
    record.set_name(name);
    record.set_address(name);
    record.set_domain(domain);
    record.set_processors(processors);
    record.set_incarnation(1000 + fleet.nodes.size());
    view.setSelf(record);
    settings.mutable_dispatch()->set_heartbeat_ms(700);
    context = std::make_unique<FleetNode::NodeContext>(FleetNode::NodeContext {
        fleet.io, fleet.clock, fleet.store, fleet.platform, settings, fleet.metrics, record.incarnation() });
    reader = std::make_unique<FleetNode::MemberReader>(
        *context, view,
        [&fleet](const std::string& address, const FleetSchema::PeerRequest& request, Utils::Duration,
            FleetNode::MemberReader::ReplyHandler handler) {
            fleet.call(address, request, std::move(handler));
        },
        FleetNode::MemberReader::Events { [this](const Ports::Row& row) { mapVersion = row.version; },
            [this] { ++updates; }, [this](const Utils::Error&) { ++failures; } });
}

} // namespace

TEST_CASE("Only relays read the members from the store, and all nodes have the same view")
{
    Fleet40 fleet;
    fleet.runRound();
    CHECK(fleet.store.readCount == 40);
    fleet.store.readCount = 0;
    for (int round = 0; round < 5; ++round)
        fleet.runRound();
    CHECK(fleet.store.readCount == 2 * 5);
    fleet.silent = { "d2-110" };
    for (int round = 0; round < 6; ++round)
        fleet.runRound();
    for (const auto& [name, node] : fleet.nodes) {
        CHECK(node->view.isAlive("d1-105"));
        CHECK((name == "d2-110" || !node->view.isAlive("d2-110")));
    }
}

TEST_CASE("Nodes read the members themselves at once when their relay does not answer")
{
    const PeerBehavior behavior = GENERATE(PeerBehavior::Fail, PeerBehavior::Pause);
    Fleet40 fleet;
    for (int round = 0; round < 3; ++round)
        fleet.runRound();
    fleet.nodes.at("d1-100")->behavior = behavior;
    fleet.silent = { "d1-100" };
    TestNode& node = *fleet.nodes.at("d1-105");
    for (int round = 0; round < 2; ++round)
        fleet.runRound();
    const int before = node.updates;
    const int calls = fleet.callCount;
    fleet.runRound();
    CHECK(node.updates == before + 1);
    // For some time, the nodes do not try other relays, which may have been lost as well.
    CHECK(fleet.callCount == calls + 19);
    for (int round = 0; round < 3; ++round)
        fleet.runRound();
    CHECK_FALSE(node.view.isAlive("d1-100"));
    CHECK(node.view.isAlive("d1-106"));
    CHECK(node.view.isAlive("d2-106"));
}

TEST_CASE("Another node becomes the relay after the former one is dead")
{
    Fleet40 fleet;
    for (int round = 0; round < 3; ++round)
        fleet.runRound();
    fleet.nodes.at("d1-100")->behavior = PeerBehavior::Fail;
    fleet.silent = { "d1-100" };
    for (int round = 0; round < 12; ++round)
        fleet.runRound();
    fleet.store.readCount = 0;
    fleet.runRound();
    // The lost node's own reader still reads in this test.
    CHECK(fleet.store.readCount <= 3);
}

TEST_CASE("A node that cannot reach the store itself does not learn of the members through a relay")
{
    Fleet40 fleet;
    for (int round = 0; round < 3; ++round)
        fleet.runRound();
    TestNode& node = *fleet.nodes.at("d1-105");
    fleet.runRound(false);
    const int before = node.updates;
    fleet.store.readCount = 0;
    fleet.runRound(false);
    CHECK(node.updates == before + 1);
    CHECK(fleet.store.readCount == 40);
}

TEST_CASE("A relay that cannot read the store says so, and its nodes read themselves")
{
    Fleet40 fleet;
    for (int round = 0; round < 3; ++round)
        fleet.runRound();
    fleet.store.failingReads = 2;
    const int before = fleet.nodes.at("d1-105")->updates;
    fleet.runRound();
    CHECK(fleet.nodes.at("d1-105")->updates == before + 1);
    CHECK(fleet.nodes.at("d1-105")->failures == 0);
    CHECK(fleet.nodes.at("d1-100")->failures + fleet.nodes.at("d2-100")->failures == 2);
}

TEST_CASE("The rack map reaches the nodes through the relay, once for each change")
{
    Fleet40 fleet;
    for (int round = 0; round < 3; ++round)
        fleet.runRound();
    const Ports::RowKey name { FleetNode::nodeTable, {}, FleetNode::rackMapKey };
    fleet.store.rows[name] = { name, "map", 7, false };
    fleet.runRound();
    fleet.runRound();
    for (const auto& [nodeName, node] : fleet.nodes)
        CHECK(node->mapVersion == 7);
}

TEST_CASE("Members that do not fit into one page of the store are read as well")
{
    Fleet40 fleet;
    fleet.runRound();
    TestNode& node = *fleet.nodes.at("d1-100");
    const auto makePage = [&](std::initializer_list<const char*> names, bool hasMore, std::uint64_t version) {
        Ports::RowPage page;
        page.hasMore = hasMore;
        page.version = version;
        for (const char* name : names) {
            FleetSchema::NodeRecord record;
            record.set_name(name);
            page.rows.push_back({ { FleetNode::nodeTable, {}, std::string(FleetNode::nodeKeyPrefix) + name },
                record.SerializeAsString(), version, false });
        }
        return page;
    };
    fleet.store.pages = { makePage({ "x1", "x2" }, true, 900), makePage({ "x3" }, false, 905) };
    node.reader->read(false);
    fleet.io.restart();
    fleet.io.poll();
    for (const char* name : { "x1", "x2", "x3" })
        CHECK(node.view.isAlive(name));
    const int failures = node.failures;
    fleet.store.pages = { makePage({ "x3" }, true, 910), makePage({ "x1" }, true, 910) };
    node.reader->read(false);
    fleet.io.restart();
    fleet.io.poll();
    CHECK(node.failures == failures + 1);
}
