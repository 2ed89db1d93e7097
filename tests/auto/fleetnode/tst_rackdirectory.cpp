#include "scriptedrowstore.h"

#include <fleetnode/rackdirectory.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

class ManualClock final : public Utils::Clock {
public:
    Utils::TimePoint now() const override { return time; }

    Utils::TimePoint time { 1000s };
};

struct DirectoryFixture {
    /*! Lists the first \p perRack workers of each of six racks. */
    void list(int perRack)
    {
        std::vector<Ports::WorkerInfo> workers;
        for (int rack = 0; rack < 6; ++rack) {
            for (int number = 0; number < perRack; ++number) {
                Ports::WorkerInfo worker;
                worker.id = std::to_string(rack) + "-" + std::to_string(number);
                worker.rack = "r" + std::to_string(rack);
                worker.service = "s";
                worker.domain = "d";
                workers.push_back(worker);
            }
        }
        directory.setWorkers(workers, clock.time);
        directory.addUnmappedRacks();
        readMap();
    }

    void readMap()
    {
        io.restart();
        io.poll();
        const auto row = store.rows.find({ FleetNode::nodeTable, {}, FleetNode::rackMapKey });
        if (row != store.rows.end())
            directory.setMapRow(row->second);
    }

    boost::asio::io_context io { 1 };
    ManualClock clock;
    Testing::ScriptedRowStore store { io };
    Ports::PlatformBinding platform;
    Schema::NodeDaemonSettings settings;
    Telemetry::Metrics metrics;
    FleetNode::NodeContext context { io, clock, store, platform, settings, metrics, 77 };
    FleetNode::RackDirectory directory { context };
};

} // namespace

TEST_CASE("Racks are assigned by the number of their workers, not by how many were listed first")
{
    DirectoryFixture fixture;
    for (const int perRack : { 3, 20, 32 }) {
        fixture.list(perRack);
        CHECK(fixture.directory.shards().empty());
        fixture.clock.time += 1s;
    }
    fixture.list(32);
    CHECK(fixture.directory.shards().size() == 3);
}

TEST_CASE("A node without a list of workers knows the shards and their failure domains from the map")
{
    DirectoryFixture maintainer;
    maintainer.list(32);
    maintainer.clock.time += 1s;
    maintainer.list(32);
    DirectoryFixture other;
    other.store.rows = maintainer.store.rows;
    other.readMap();
    REQUIRE(other.directory.shards().size() == 3);
    for (const std::string& shard : other.directory.shards())
        CHECK(other.directory.domainOf(shard) == "d");
}

TEST_CASE("Failure domains are added to a map that an earlier version wrote")
{
    DirectoryFixture fixture;
    FleetSchema::RackMap map;
    (*map.mutable_shards())["s/r0"] = "s/d/1";
    const Ports::RowKey name { FleetNode::nodeTable, {}, FleetNode::rackMapKey };
    fixture.store.rows[name] = { name, map.SerializeAsString(), 5, false };
    fixture.readMap();
    CHECK(fixture.directory.domainOf("s/d/1").empty());
    fixture.list(1);
    CHECK(fixture.directory.domainOf("s/d/1") == "d");
}

TEST_CASE("An older map of racks does not replace a newer one")
{
    DirectoryFixture fixture;
    FleetSchema::RackMap map;
    (*map.mutable_shards())["s/r0"] = "s/d/1";
    const Ports::RowKey name { FleetNode::nodeTable, {}, FleetNode::rackMapKey };
    const Ports::Row older { name, map.SerializeAsString(), 5, false };
    (*map.mutable_shards())["s/r1"] = "s/d/2";
    CHECK(fixture.directory.setMapRow({ name, map.SerializeAsString(), 8, false }));
    CHECK_FALSE(fixture.directory.setMapRow(older));
    CHECK(fixture.directory.shards().size() == 2);
}
