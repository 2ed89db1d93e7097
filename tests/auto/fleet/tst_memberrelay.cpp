#include <fleet/memberview.h>
#include <fleet/relaychoice.h>

#include <catch2/catch.hpp>

#include <map>

using namespace std::chrono_literals;

namespace {

const Utils::TimePoint start { 1000s };

FleetSchema::NodeRecord makeNode(const std::string& name, const std::string& domain, double processors = 1)
{
    FleetSchema::NodeRecord record;
    record.set_name(name);
    record.set_domain(domain);
    record.set_processors(processors);
    record.set_incarnation(1);
    return record;
}

Fleet::MemberRow makeRow(const std::string& name, std::uint64_t version)
{
    return { makeNode(name, "d"), version };
}

/*! Reply of the relay with the given view to a node that uses it as its relay. */
FleetSchema::MembersReply replyOf(const Fleet::MemberView& relay, const Fleet::MemberView& requester)
{
    FleetSchema::MembersReply reply
        = relay.changesSince(requester.relayedView().relay == 9 ? requester.relayedView().revision : 0);
    reply.set_relay(9);
    return reply;
}

std::vector<const FleetSchema::NodeRecord*> pointersTo(const std::vector<FleetSchema::NodeRecord>& nodes)
{
    std::vector<const FleetSchema::NodeRecord*> pointers;
    pointers.reserve(nodes.size());
    for (const FleetSchema::NodeRecord& node : nodes)
        pointers.push_back(&node);
    return pointers;
}

/*! Two failure domains of equal size; the nodes that come first in a domain have more processors. */
std::vector<FleetSchema::NodeRecord> makeNodes(int perDomain)
{
    std::vector<FleetSchema::NodeRecord> nodes;
    for (const char* domain : { "d1", "d2" }) {
        for (int number = 0; number < perDomain; ++number) {
            const std::string name = std::string(domain) + "-" + std::to_string(100 + number);
            nodes.push_back(makeNode(name, domain, number < 4 ? 0.5 : 0.07));
        }
    }
    return nodes;
}

} // namespace

TEST_CASE("In a small fleet, each node reads the members itself")
{
    const std::vector<FleetSchema::NodeRecord> nodes = makeNodes(7);
    for (const FleetSchema::NodeRecord& node : nodes)
        CHECK(Fleet::chooseRelay(node, pointersTo(nodes)) == nullptr);
}

TEST_CASE("The nodes of a failure domain agree on a relay, which reads the members itself")
{
    const std::vector<FleetSchema::NodeRecord> nodes = makeNodes(20);
    for (const FleetSchema::NodeRecord& node : nodes) {
        const FleetSchema::NodeRecord* const relay = Fleet::chooseRelay(node, pointersTo(nodes));
        const std::string expected = node.domain() + "-100";
        CHECK((relay ? relay->name() : node.name()) == expected);
    }
}

TEST_CASE("A node that leaves is no relay")
{
    std::vector<FleetSchema::NodeRecord> nodes = makeNodes(20);
    nodes[0].set_leaving(true);
    CHECK(Fleet::chooseRelay(nodes[5], pointersTo(nodes))->name() == "d1-101");
}

TEST_CASE("A relay serves a bounded number of nodes")
{
    const std::vector<FleetSchema::NodeRecord> nodes = makeNodes(100);
    std::map<std::string, int> served;
    for (const FleetSchema::NodeRecord& node : nodes) {
        if (const FleetSchema::NodeRecord* const relay = Fleet::chooseRelay(node, pointersTo(nodes)))
            ++served[relay->name()];
    }
    CHECK(served.size() == 8);
    for (const auto& [relay, count] : served)
        CHECK(count <= 32);
}

TEST_CASE("A relayed view counts a silent node as dead when the relay does")
{
    Fleet::MemberView relay("relay", 2500ms);
    Fleet::MemberView requester("requester", 2500ms);
    std::size_t changedRecords = 0;
    for (int second = 0; second < 5; ++second) {
        const Utils::TimePoint now = start + second * 1s;
        relay.update({ makeRow("a", 1), makeRow("b", 10 + second) }, now, 100 + second);
        const FleetSchema::MembersReply reply = replyOf(relay, requester);
        changedRecords += static_cast<std::size_t>(reply.changed_size());
        REQUIRE(requester.applyRelayed(reply, now));
        CHECK(requester.isAlive("a") == relay.isAlive("a"));
        CHECK(requester.isAlive("b"));
    }
    CHECK_FALSE(requester.isAlive("a"));
    CHECK(changedRecords == 2);
}

TEST_CASE("Reading the store after relayed views neither revives a dead node nor declares a live one dead")
{
    Fleet::MemberView relay("relay", 2500ms);
    Fleet::MemberView requester("requester", 2500ms);
    for (int second = 0; second < 4; ++second) {
        const Utils::TimePoint now = start + second * 1s;
        relay.update({ makeRow("a", 1), makeRow("b", 10 + second) }, now, 100 + second);
        REQUIRE(requester.applyRelayed(replyOf(relay, requester), now));
    }
    requester.update({ makeRow("a", 1), makeRow("b", 13) }, start + 4s, 110);
    CHECK_FALSE(requester.isAlive("a"));
    CHECK(requester.isAlive("b"));
    requester.update({ makeRow("a", 111), makeRow("b", 112) }, start + 5s, 112);
    CHECK(requester.isAlive("a"));
}

TEST_CASE("A change that a direct message made at the relay reaches the nodes that it serves")
{
    Fleet::MemberView relay("relay", 2500ms);
    Fleet::MemberView requester("requester", 2500ms);
    relay.update({ makeRow("a", 1) }, start, 100);
    REQUIRE(requester.applyRelayed(replyOf(relay, requester), start));
    FleetSchema::NodeRecord changed = makeNode("a", "d");
    changed.add_shards()->set_shard("s1");
    relay.updateRecord(changed);
    relay.update({ { changed, 2 } }, start + 1s, 101);
    REQUIRE(requester.applyRelayed(replyOf(relay, requester), start + 1s));
    CHECK(requester.shardOwners().contains("s1"));
}

TEST_CASE("A reply without a relay or with an earlier view than the last one is not applied")
{
    Fleet::MemberView relay("relay", 2500ms);
    Fleet::MemberView requester("requester", 2500ms);
    CHECK_FALSE(requester.applyRelayed({}, start));
    relay.update({ makeRow("a", 1) }, start, 100);
    const FleetSchema::MembersReply early = replyOf(relay, requester);
    relay.update({ makeRow("a", 2) }, start + 1s, 101);
    REQUIRE(requester.applyRelayed(replyOf(relay, requester), start + 1s));
    CHECK_FALSE(requester.applyRelayed(early, start + 2s));
}

TEST_CASE("A relay's view that is older than the rows that a node has read is not applied")
{
    Fleet::MemberView relay("relay", 2500ms);
    Fleet::MemberView requester("requester", 2500ms);
    relay.update({ makeRow("a", 1) }, start, 100);
    FleetSchema::NodeRecord owner = makeNode("a", "d");
    owner.add_shards()->set_shard("s1");
    requester.update({ { owner, 102 } }, start + 100ms, 102);
    CHECK_FALSE(requester.applyRelayed(replyOf(relay, requester), start + 200ms));
    CHECK(requester.shardOwners().contains("s1"));
    relay.update({ { owner, 103 } }, start + 300ms, 103);
    CHECK(requester.applyRelayed(replyOf(relay, requester), start + 300ms));
}

TEST_CASE("An owner that misses heartbeats is reported as silent before it counts as dead")
{
    Fleet::MemberView view("self", 2500ms);
    FleetSchema::NodeRecord owner = makeNode("a", "d");
    owner.add_shards()->set_shard("s1");
    view.update({ { owner, 1 } }, start);
    CHECK_FALSE(view.shardOwners().at("s1").isSilent);
    view.update({ { owner, 1 } }, start + 700ms);
    CHECK_FALSE(view.shardOwners().at("s1").isSilent);
    view.update({ { owner, 1 } }, start + 1400ms);
    CHECK(view.shardOwners().at("s1").isSilent);
    CHECK(view.isAlive("a"));
    view.update({ { owner, 2 } }, start + 2100ms);
    CHECK_FALSE(view.shardOwners().at("s1").isSilent);
}
