#include "scriptedrowstore.h"

#include <fleetnode/delegationtargets.h>

#include <fleet/shardchooser.h>

#include <catch2/catch.hpp>

#include <thread>

namespace {

Fleet::ShardOwnerInfo ownerInfo(const std::string& shard, std::int64_t lasting)
{
    Fleet::ShardOwnerInfo owner;
    owner.node = "node-" + shard;
    owner.load.set_shard(shard);
    owner.load.set_service("service");
    owner.load.set_capacity(500'000);
    owner.load.set_lasting(lasting);
    owner.load.set_largest_worker(32'000);
    return owner;
}

struct TargetsFixture : Testing::NodeFixture {
    TargetsFixture()
    {
        chooser.update(
            { { "own", ownerInfo("own", 0) }, { "a", ownerInfo("a", 0) }, { "b", ownerInfo("b", 100'000) } });
        FleetSchema::StepSpec& step = *spec.add_steps();
        step.set_count(1);
        step.set_milli_processors(8000);
        step.set_lasting(true);
        spec.set_id("job");
        spec.set_service("service");
    }

    std::string find() { return targets.find("own", spec, 0, {}, 1); }

    /*! Answers the oldest unanswered call. */
    void answer(const Utils::Result<FleetSchema::PeerReply>& reply)
    {
        const auto handler = std::move(calls.front().second);
        calls.erase(calls.begin());
        handler(reply);
    }

    static FleetSchema::PeerReply replyWith(FleetSchema::PeerOutcome outcome)
    {
        FleetSchema::PeerReply reply;
        reply.set_outcome(outcome);
        return reply;
    }

    Fleet::ShardChooser chooser;
    FleetSchema::JobSpec spec;
    std::vector<std::pair<FleetSchema::PeerRequest, FleetNode::DelegationTargets::ReplyHandler>> calls;
    FleetNode::DelegationTargets targets { context, chooser,
        [this](const FleetSchema::PeerRequest& request, FleetNode::DelegationTargets::ReplyHandler handler) {
            calls.emplace_back(request, std::move(handler));
        } };
};

} // namespace

TEST_CASE("A task is delegated only to a shard whose owner has confirmed that it can store tasks")
{
    TargetsFixture fixture;
    CHECK(fixture.find().empty());
    CHECK(fixture.find().empty());
    REQUIRE(fixture.calls.size() == 1);
    CHECK(fixture.calls[0].first.shard() == "a");
    CHECK(fixture.calls[0].first.host_check());
    fixture.answer(fixture.replyWith(FleetSchema::PEER_OK));
    CHECK(fixture.find() == "a");
    std::this_thread::sleep_for(std::chrono::milliseconds(450));
    CHECK(fixture.find().empty());
    CHECK(fixture.calls.size() == 1);
}

TEST_CASE("An owner that cannot store tasks, or does not answer, is passed over")
{
    const Utils::Error noAnswer { Utils::ErrorCode::OutcomeUnknown, "peer.call", "a", "no answer" };
    for (const Utils::Result<FleetSchema::PeerReply>& reply :
        { Utils::Result<FleetSchema::PeerReply>(TargetsFixture::replyWith(FleetSchema::PEER_UNAVAILABLE)),
            Utils::Result<FleetSchema::PeerReply>(noAnswer) }) {
        TargetsFixture fixture;
        fixture.find();
        fixture.answer(reply);
        CHECK(fixture.find().empty());
        REQUIRE(fixture.calls.size() == 1);
        CHECK(fixture.calls[0].first.shard() == "b");
        fixture.answer(fixture.replyWith(FleetSchema::PEER_OK));
        CHECK(fixture.find() == "b");
    }
}
