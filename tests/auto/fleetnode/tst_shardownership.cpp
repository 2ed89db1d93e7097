#include "scriptedrowstore.h"

#include <fleetnode/peerclient.h>
#include <fleetnode/shardownership.h>

#include <fleet/taillatencymodel.h>

#include <catch2/catch.hpp>

namespace {

/*! Settings with intervals and timeouts that never expire during a test. */
struct QuietNodeFixture : Testing::NodeFixture {
    QuietNodeFixture()
    {
        settings.mutable_dispatch()->set_heartbeat_ms(3'600'000);
        settings.mutable_dispatch()->set_node_timeout_ms(3'600'000);
        settings.mutable_dispatch()->set_orphan_grace_ms(3'600'000);
    }
};

/*! "node-1" with a live peer "node-0", which comes first by name and therefore maintains the rack map. */
struct OwnershipFixture : QuietNodeFixture {
    OwnershipFixture()
    {
        FleetSchema::NodeRecord other;
        other.set_name("node-0");
        other.set_address("127.0.0.1:1");
        const Ports::RowKey name { FleetNode::nodeTable, {},
            std::string(FleetNode::nodeKeyPrefix) + "node-0" };
        store.rows[name] = { name, other.SerializeAsString(), 1, false };
        ownership.setWorkerListRequester([this] { ++workerListRequests; });
        ownership.start();
        runReady();
    }

    void runReady()
    {
        io.restart();
        io.poll();
    }

    void takeOver(const std::string& shard)
    {
        FleetSchema::PeerRequest request;
        request.set_shard(shard);
        request.mutable_take_over();
        ownership.serve(request, [](const FleetSchema::PeerReply&) {});
    }

    Fleet::TailLatencyModel model;
    FleetNode::PeerClient peers { context };
    FleetNode::ShardOwnership ownership { context, peers, model };
    int workerListRequests = 0;
};

} // namespace

TEST_CASE("A node without shards requests a current list of workers when it claims its first shard")
{
    OwnershipFixture fixture;
    REQUIRE_FALSE(fixture.ownership.needsWorkerList());
    fixture.takeOver("shard-1");
    CHECK(fixture.ownership.needsWorkerList());
    CHECK(fixture.workerListRequests == 1);
    fixture.runReady();
    CHECK(fixture.ownership.needsWorkerList());
    fixture.takeOver("shard-2");
    CHECK(fixture.workerListRequests == 1);
}
