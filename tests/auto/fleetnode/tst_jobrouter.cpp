#include "scriptedrowstore.h"

#include <fleetnode/jobrouter.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using CommitBehavior = Testing::ScriptedRowStore::CommitBehavior;

namespace {

/*! Directory with one shard, owned by this node, whose replies the test controls. */
class ScriptedDirectory final : public FleetNode::ShardDirectory {
public:
    using ReplyHandler = std::function<void(const FleetSchema::PeerReply&)>;

    std::string ownerAddress(const std::string&) const override { return {}; }

    void serve(const FleetSchema::PeerRequest&, ReplyHandler handler) override
    {
        ++callCount;
        if (holdsReplies)
            heldHandler = std::move(handler);
        else
            handler(reply);
    }

    bool isStoreReachable() const override { return true; }
    Fleet::ShardChoice chooseShard(const FleetSchema::JobSpec&) override { return { "shard", false }; }
    void setOwnerResponsive(const std::string&, bool isResponsive) override
    {
        wasOwnerResponsive = isResponsive;
    }

    FleetSchema::PeerReply reply;
    bool holdsReplies = false;
    ReplyHandler heldHandler;
    int callCount = 0;
    bool wasOwnerResponsive = true;
};

struct RouterFixture : Testing::NodeFixture {
    RouterFixture()
        : router(context, directory)
    {
    }

    void submit(Utils::Duration deadline)
    {
        FleetSchema::JobSpec spec;
        spec.set_id("5c0e7a21d94b36f8");
        router.submit(spec, context.now() + deadline,
            [this](const Ports::CallerResponse& response) { responses.push_back(response); });
    }

    void run()
    {
        io.restart();
        io.run();
    }

    ScriptedDirectory directory;
    FleetNode::JobRouter router;
    std::vector<Ports::CallerResponse> responses;
};

} // namespace

TEST_CASE(
    "A submission that waits for the index is answered as not accepted and does not reach an owner later")
{
    RouterFixture fixture;
    fixture.store.commitBehaviors = { CommitBehavior::Hold };
    fixture.submit(1s);
    fixture.run();
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == Ports::CallerOutcome::Unavailable);
    CHECK(fixture.responses[0].retryAfterMs > 0);
    fixture.store.releaseHeldCommits();
    fixture.run();
    CHECK(fixture.directory.callCount == 0);
    CHECK(fixture.responses.size() == 1);
}

TEST_CASE("A submission that its owner may have stored waits for the owner's reply, even after the hold time")
{
    RouterFixture fixture;
    fixture.directory.holdsReplies = true;
    fixture.submit(1s);
    fixture.run();
    CHECK(fixture.responses.empty());
    REQUIRE(fixture.directory.heldHandler);
    fixture.directory.heldHandler({});
    fixture.run();
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == Ports::CallerOutcome::Done);
    CHECK(fixture.directory.wasOwnerResponsive);
}

TEST_CASE("A submission to a shard without an owner is answered as not accepted, and the owner counts as "
          "unresponsive")
{
    RouterFixture fixture;
    fixture.directory.reply.set_outcome(FleetSchema::PEER_NOT_OWNER);
    fixture.submit(1s);
    fixture.run();
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == Ports::CallerOutcome::Unavailable);
    CHECK(fixture.responses[0].retryAfterMs > 0);
    CHECK(fixture.directory.callCount > 1);
    CHECK_FALSE(fixture.directory.wasOwnerResponsive);
}

TEST_CASE("A submission whose outcome is unknown is never answered as not accepted")
{
    RouterFixture fixture;
    fixture.directory.reply.set_outcome(FleetSchema::PEER_UNDECIDED);
    fixture.submit(1s);
    fixture.run();
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == Ports::CallerOutcome::Undecided);
}
