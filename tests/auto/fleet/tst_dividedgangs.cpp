#include "gangfixture.h"

#include <fleet/shardchooser.h>
#include <fleet/workerkinds.h>

#include <catch2/catch.hpp>

#include <set>

using namespace std::chrono_literals;
using namespace Testing;

using Counts = std::vector<std::size_t>;
using Sizes = std::vector<std::int64_t>;

TEST_CASE("A gang whose shard has lost workers runs on several shards within 3 s, and completes once")
{
    GangFixture fixture(4);
    REQUIRE(fixture.countRunning() == Counts { 8, 0, 0 });
    fixture.loseWorkers();
    fixture.advance(3s);
    CHECK(fixture.countRunning() == Counts { 2, 3, 3 });
    CHECK(fixture.runningAttempts() == std::set<std::uint32_t> { 2 });
    fixture.shards["host1"]->finishAll(Ports::AttemptOutcome::Done);
    fixture.advance(1s);
    CHECK(fixture.origin().scheduler.state("job") == FleetSchema::JOB_COMPLETED);
    fixture.shards["host2"]->finishAll(Ports::AttemptOutcome::Done);
    fixture.origin().finishAll(Ports::AttemptOutcome::Done);
    fixture.advance(3s);
    CHECK(fixture.committed() == Sizes { 0, 0, 0 });
    CHECK(fixture.origin().output.ended.size() == 1);
}

TEST_CASE(
    "The rest of a gang that has lost a member is stopped, unless it ends by itself, and the gang restarts")
{
    GangFixture fixture(4);
    SchedulerFixture& origin = fixture.origin();
    REQUIRE(fixture.countRunning() == Counts { 8, 0, 0 });
    for (const char* worker : { "w2", "w3" }) {
        origin.scheduler.onWorkerReplaced(worker, origin.now, testStartUnixMs);
        std::erase_if(origin.running, [&](const auto& attempt) { return attempt.worker == worker; });
    }
    origin.scheduler.setWorkers({ makeWorkerInfo("w0"), makeWorkerInfo("w1") }, origin.now);
    fixture.advance(800ms);
    CHECK(origin.output.stops.empty());
    fixture.advance(700ms);
    REQUIRE(origin.output.stops.size() == 4);
    origin.finishAll(Ports::AttemptOutcome::Stopped);
    fixture.advance(3s);
    CHECK(fixture.countRunning() == Counts { 2, 3, 3 });
    CHECK(fixture.runningAttempts() == std::set<std::uint32_t> { 2 });
}

TEST_CASE("A gang that is wider than each shard runs")
{
    GangFixture fixture(2);
    REQUIRE(fixture.countRunning() == Counts { 0, 0, 0 });
    fixture.advance(3s);
    CHECK(fixture.countRunning() == Counts { 2, 3, 3 });
    CHECK(fixture.runningAttempts() == std::set<std::uint32_t> { 1 });
}

TEST_CASE("No part of a gang starts if another one finds no workers, and all are returned")
{
    GangFixture fixture(2);
    fixture.shards["host2"]->scheduler.setWorkers({ makeWorkerInfo("w0") }, fixture.origin().now);
    fixture.advance(2s);
    CHECK(fixture.committed() == Sizes { 24'000, 36'000, 0 });
    // The capacity is free again before it was held for 3 s.
    fixture.advance(1200ms);
    CHECK(fixture.committed() == Sizes { 0, 0, 0 });
    fixture.advance(800ms);
    CHECK(fixture.countRunning() == Counts { 0, 0, 0 });
    CHECK_FALSE(fixture.shards["host2"]->output.results.empty());
    CHECK_FALSE(fixture.shards["host1"]->output.results.empty());
    fixture.origin().output.gangShares = { { "host1", 4 }, { "origin", 4 } };
    fixture.advance(6s);
    CHECK(fixture.countRunning() == Counts { 4, 4, 0 });
    CHECK(fixture.runningAttempts().size() == 1);
}

TEST_CASE("A repeated call starts a part of a gang once, and a call after its time does not start it")
{
    GangFixture fixture(2);
    fixture.origin().output.gangShares = { { "host1", 4 }, { "host2", 4 } };
    fixture.carriesStarts = false;
    for (int step100ms = 0; step100ms < 30 && fixture.origin().output.partStarts.empty(); ++step100ms)
        fixture.advance(100ms);
    fixture.advance(500ms);
    // The call is repeated until it is answered.
    const auto calls = fixture.origin().output.partStarts;
    REQUIRE(calls.size() >= 4);
    REQUIRE(calls[0].first == "host1");
    REQUIRE(calls[1].first == "host2");
    Fleet::ShardScheduler& first = fixture.shards["host1"]->scheduler;
    for (int repetition = 0; repetition < 3; ++repetition)
        CHECK(first.acceptPartStart(calls[0].second, fixture.origin().now) == FleetSchema::PEER_OK);
    CHECK(fixture.countRunning() == Counts { 0, 4, 0 });
    // The other part is released when its time is over.
    fixture.advance(3s);
    CHECK(fixture.committed()[2] == 0);
    Fleet::ShardScheduler& second = fixture.shards["host2"]->scheduler;
    CHECK(second.acceptPartStart(calls[1].second, fixture.origin().now) == FleetSchema::PEER_REFUSED);
    CHECK(fixture.countRunning()[2] == 0);
    CHECK(fixture.committed()[2] == 0);
    // The gang is not started anew while a part may run.
    fixture.carriesStarts = true;
    fixture.advance(2s);
    CHECK(fixture.countRunning() == Counts { 0, 4, 0 });
    fixture.shards["host1"]->finishAll(Ports::AttemptOutcome::GangIncomplete);
    fixture.advance(6s);
    CHECK(fixture.countRunning() == Counts { 0, 4, 4 });
    CHECK(fixture.runningAttempts() == std::set<std::uint32_t> { 2 });
}

TEST_CASE("Parts of a gang return after a change of the owner of any shard, and the gang is divided again")
{
    for (const std::string& shard : { std::string("host1"), std::string("origin") }) {
        GangFixture fixture(2);
        fixture.carriesReady = false;
        fixture.advance(2s);
        REQUIRE(fixture.committed() == Sizes { 24'000, 36'000, 36'000 });
        REQUIRE(fixture.countRunning() == Counts { 0, 0, 0 });
        const FleetSchema::GangPart part = fixture.shards["host1"]->output.readyParts.back();
        fixture.changeOwner(shard);
        if (shard == "host1") {
            CHECK(fixture.shards[shard]->scheduler.acceptPartStart(part, fixture.origin().now)
                == FleetSchema::PEER_REFUSED);
        }
        fixture.carriesReady = true;
        fixture.advance(200ms);
        CHECK(fixture.countRunning() == Counts { 0, 0, 0 });
        fixture.advance(8s);
        CHECK(fixture.countRunning() == Counts { 2, 3, 3 });
        CHECK(fixture.runningAttempts().size() == 1);
    }
}

TEST_CASE("A part that has started runs on after a change of the owner of any shard")
{
    for (const std::string& shard : { std::string("host1"), std::string("origin") }) {
        GangFixture fixture(2);
        fixture.advance(3s);
        REQUIRE(fixture.countRunning() == Counts { 2, 3, 3 });
        fixture.changeOwner(shard);
        fixture.advance(3s);
        CHECK(fixture.countRunning() == Counts { 2, 3, 3 });
        CHECK(fixture.runningAttempts() == std::set<std::uint32_t> { 1 });
    }
}

TEST_CASE("A gang that is cancelled while its parts are held starts nowhere and holds no capacity")
{
    GangFixture fixture(2);
    fixture.carriesReady = false;
    fixture.advance(2s);
    REQUIRE(fixture.committed() == Sizes { 24'000, 36'000, 36'000 });
    fixture.origin().scheduler.cancel("job", 5, testStartUnixMs);
    fixture.carriesReady = true;
    fixture.advance(1s);
    CHECK(fixture.committed() == Sizes { 0, 0, 0 });
    fixture.advance(5s);
    CHECK(fixture.countRunning() == Counts { 0, 0, 0 });
    CHECK(fixture.origin().scheduler.state("job") == FleetSchema::JOB_CANCELLED);
}

TEST_CASE("A part of a gang whose attempts end without result is returned, and the gang runs again")
{
    GangFixture fixture(2);
    fixture.advance(3s);
    REQUIRE(fixture.countRunning() == Counts { 2, 3, 3 });
    fixture.shards["host1"]->finishAll(Ports::AttemptOutcome::Stopped);
    fixture.advance(500ms);
    // The others notice it only now.
    CHECK(fixture.countRunning() == Counts { 2, 0, 3 });
    fixture.shards["host2"]->finishAll(Ports::AttemptOutcome::GangBroken);
    fixture.origin().finishAll(Ports::AttemptOutcome::GangBroken);
    fixture.advance(3s);
    CHECK(fixture.countRunning() == Counts { 2, 3, 3 });
    CHECK(fixture.runningAttempts() == std::set<std::uint32_t> { 2 });
}

namespace {

/*! \return an idle shard with 4 workers that each run two tasks of 12 processors. */
Fleet::ShardOwnerInfo makeOwner(const std::string& shard)
{
    Fleet::ShardOwnerInfo owner;
    owner.node = "node-" + shard;
    owner.load.set_shard(shard);
    owner.load.set_service("service");
    owner.load.set_reports_results(true);
    owner.load.set_hosts_gang_parts(true);
    owner.load.set_capacity(4 * 32'000L);
    owner.load.set_largest_worker(32'000);
    for (int number = 0; number < 4; ++number) {
        Fleet::Worker worker;
        worker.info = makeWorkerInfo("w" + std::to_string(number));
        Fleet::addToWorkerKinds(worker, owner.load);
    }
    return owner;
}

FleetSchema::JobSpec makeGang(std::uint32_t count)
{
    FleetSchema::StepSpec step = makeStep(count, 12'000, 500);
    step.set_gang(true);
    return makeJob("job", { step });
}

} // namespace

TEST_CASE("A gang is accepted if shards that can host parts can run it together, and rejected otherwise")
{
    std::map<std::string, Fleet::ShardOwnerInfo> owners { { "1", makeOwner("1") }, { "2", makeOwner("2") } };
    Fleet::ShardChooser chooser;
    chooser.update(owners);
    CHECK_FALSE(chooser.choose(makeGang(8), 1).shard.empty());
    CHECK_FALSE(chooser.choose(makeGang(16), 1).shard.empty());
    CHECK(chooser.choose(makeGang(17), 1).shard.empty());
    FleetSchema::JobSpec lasting = makeGang(16);
    lasting.mutable_steps(0)->set_lasting(true);
    CHECK(chooser.choose(lasting, 1).shard.empty());
    // An owner of an earlier version does not know parts.
    owners["2"].load.set_hosts_gang_parts(false);
    chooser.update(owners);
    CHECK(chooser.choose(makeGang(9), 1).shard.empty());
    CHECK_FALSE(chooser.choose(makeGang(8), 1).shard.empty());
}

TEST_CASE("A gang is divided in proportion to the free slots of the shards that can host parts")
{
    std::map<std::string, Fleet::ShardOwnerInfo> owners;
    for (const char* shard : { "1", "2", "3", "4" })
        owners[shard] = makeOwner(shard);
    owners["2"].load.set_committed(64'000);
    owners["4"].load.set_hosts_gang_parts(false);
    Fleet::ShardChooser chooser;
    chooser.update(owners);
    for (const std::uint32_t count : { 3, 10, 19, 20 }) {
        std::uint32_t sum = 0;
        for (const Fleet::GangShare& share : chooser.divideGang(makeGang(count), 0, 1)) {
            CHECK((share.shard == "1" || share.shard == "2" || share.shard == "3"));
            CHECK(share.count <= (share.shard == "2" ? 4 : 8));
            sum += share.count;
        }
        CHECK(sum == count);
    }
    CHECK(chooser.divideGang(makeGang(21), 0, 1).empty());
    chooser.setOwnerResponsive("3", false);
    CHECK(chooser.divideGang(makeGang(13), 0, 1).empty());
}
