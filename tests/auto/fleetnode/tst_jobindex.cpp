#include "scriptedrowstore.h"

#include <fleetnode/jobindex.h>

#include <catch2/catch.hpp>

using CommitBehavior = Testing::ScriptedRowStore::CommitBehavior;

namespace {

struct IndexFixture : Testing::NodeFixture {
    Utils::Result<std::string> assign(
        FleetNode::JobIndex& index, const std::string& job, const std::string& shard)
    {
        Utils::Result<std::string> result = Utils::Error {};
        index.assign(job, shard, [&](const Utils::Result<std::string>& value) { result = value; });
        io.restart();
        io.run();
        return result;
    }

    Utils::Result<std::string> find(FleetNode::JobIndex& index, const std::string& job)
    {
        Utils::Result<std::string> result = Utils::Error {};
        index.find(job, [&](const Utils::Result<std::string>& value) { result = value; });
        io.restart();
        io.run();
        return result;
    }

    FleetNode::JobIndex firstNode { context };
    FleetNode::JobIndex secondNode { context };
};

} // namespace

TEST_CASE("The first node to assign a job decides for all nodes")
{
    IndexFixture fixture;
    CHECK(Utils::value(fixture.assign(fixture.firstNode, "job", "a")) == "a");
    CHECK(Utils::value(fixture.assign(fixture.secondNode, "job", "b")) == "a");
    CHECK(Utils::value(fixture.find(fixture.secondNode, "job")) == "a");
}

TEST_CASE("An assignment whose answer was lost succeeds, whether or not the entry was written")
{
    IndexFixture fixture;
    fixture.store.commitBehaviors = { CommitBehavior::LoseReply };
    CHECK(Utils::value(fixture.assign(fixture.firstNode, "one", "a")) == "a");
    fixture.store.commitBehaviors = { CommitBehavior::LoseRequest };
    CHECK(Utils::value(fixture.assign(fixture.firstNode, "two", "a")) == "a");
}

TEST_CASE("An assignment that the store refuses fails and leaves the job unknown")
{
    IndexFixture fixture;
    fixture.store.commitBehaviors = { CommitBehavior::Refuse };
    CHECK_FALSE(Utils::isOk(fixture.assign(fixture.firstNode, "job", "a")));
    const auto found = fixture.find(fixture.firstNode, "job");
    REQUIRE_FALSE(Utils::isOk(found));
    CHECK(Utils::error(found).code == Utils::ErrorCode::NotFound);
}

TEST_CASE("Concurrent assignments share transactions")
{
    IndexFixture fixture;
    int answered = 0;
    for (int number = 0; number < 40; ++number) {
        fixture.firstNode.assign("job" + std::to_string(number), "a",
            [&](const auto& result) { answered += Utils::isOk(result); });
    }
    fixture.io.run();
    CHECK(answered == 40);
    CHECK(fixture.store.commitCount <= 8);
}

TEST_CASE("Many jobs that are assigned at once are written in transactions that the store accepts")
{
    Testing::NodeFixture fixture;
    fixture.store.isInvalid = [](const Ports::Transaction& transaction) {
        constexpr std::size_t maxEntries = 100;
        return transaction.conditions.size() + transaction.puts.size() + transaction.removals.size()
            > maxEntries;
    };
    FleetNode::JobIndex index(fixture.context);
    constexpr int jobCount = 800;
    int assigned = 0;
    for (int number = 0; number < jobCount; ++number) {
        index.assign("job" + std::to_string(number), "shard",
            [&](const Utils::Result<std::string>& result) { assigned += Utils::isOk(result) ? 1 : 0; });
    }
    fixture.io.run();
    CHECK(assigned == jobCount);
}
