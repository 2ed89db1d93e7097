#include "fleetfixtures.h"

#include <fleet/shardchooser.h>

#include <catch2/catch.hpp>

#include <set>

using namespace Testing;

namespace {

Fleet::ShardOwnerInfo ownerInfo(const std::string& shard, std::int64_t committed)
{
    Fleet::ShardOwnerInfo owner;
    owner.node = "node-" + shard;
    owner.load.set_shard(shard);
    owner.load.set_service("service");
    owner.load.set_capacity(500'000);
    owner.load.set_committed(committed);
    owner.load.set_largest_worker(32'000);
    return owner;
}

} // namespace

TEST_CASE("Jobs submitted between two load reports are spread instead of all going to the least loaded shard")
{
    Fleet::ShardChooser chooser;
    chooser.update({ { "a", ownerInfo("a", 100'000) }, { "b", ownerInfo("b", 110'000) } });
    std::map<std::string, int> counts;
    for (int number = 0; number < 20; ++number)
        ++counts[chooser.choose(makeJob("j", { makeStep(4, 2000, 800) }), 1).shard];
    CHECK(counts["a"] >= 8);
    CHECK(counts["b"] >= 8);
}

TEST_CASE("Nodes that see the same loads spread a flood of jobs over all shards by free capacity")
{
    constexpr int nodes = 37;
    constexpr int jobsPerNode = 6;
    std::map<std::string, Fleet::ShardOwnerInfo> owners;
    for (int number = 0; number < 6; ++number) {
        const std::string name = "zone" + std::to_string(number);
        owners[name + "/1"] = ownerInfo(name + "/1", 0);
        owners[name + "/2"] = ownerInfo(name + "/2", 0);
        owners[name + "/2"].load.set_capacity(250'000);
    }
    std::map<std::string, int> counts;
    for (int node = 0; node < nodes; ++node) {
        Fleet::ShardChooser chooser;
        chooser.update(owners);
        for (int job = 0; job < jobsPerNode; ++job) {
            const std::string id = std::to_string(node) + "-" + std::to_string(job);
            ++counts[chooser.choose(makeJob(id, { makeLatencyCriticalStep(6, 4000, "s") }), nodes).shard];
        }
    }
    // In proportion to their capacity, the larger shards get 25 jobs each and the smaller ones 12.
    for (const auto& [shard, owner] : owners) {
        const double share = nodes * jobsPerNode * static_cast<double>(owner.load.capacity()) / 4'500'000;
        CHECK(counts[shard] > share / 2);
        CHECK(counts[shard] < share * 2);
    }
}

TEST_CASE("A shard whose owner is unresponsive gets no new jobs until it answers or some updates have passed")
{
    const std::map<std::string, Fleet::ShardOwnerInfo> owners { { "a", ownerInfo("a", 0) },
        { "b", ownerInfo("b", 400'000) } };
    const auto chosenOf = [&](Fleet::ShardChooser& chooser) {
        std::set<std::string> chosen;
        for (int job = 0; job < 20; ++job)
            chosen.insert(
                chooser.choose(makeJob("j" + std::to_string(job), { makeStep(1, 100, 800) }), 1).shard);
        return chosen;
    };
    Fleet::ShardChooser chooser;
    chooser.update(owners);
    chooser.setOwnerResponsive("a", false);
    CHECK(chosenOf(chooser) == std::set<std::string> { "b" });
    chooser.setOwnerResponsive("a", true);
    CHECK(chosenOf(chooser).contains("a"));
    chooser.setOwnerResponsive("a", false);
    for (int update = 0; update < 3; ++update)
        chooser.update(owners);
    CHECK(chosenOf(chooser).contains("a"));
    chooser.setOwnerResponsive("a", false);
    chooser.setOwnerResponsive("b", false);
    CHECK_FALSE(chosenOf(chooser).contains(""));
}

TEST_CASE("A long-running job is rejected at once when no shard has capacity for it and for restarts")
{
    Fleet::ShardChooser chooser;
    chooser.update({ { "a", ownerInfo("a", 415'000) }, { "b", ownerInfo("b", 420'000) } });
    const auto rejected = chooser.choose(makeJob("wide", { makeLatencyCriticalStep(6, 6000, "s") }), 1);
    CHECK(rejected.shard.empty());
    CHECK(rejected.isOverloaded);
    const auto small = chooser.choose(makeJob("small", { makeLatencyCriticalStep(1, 6000, "s") }), 1);
    CHECK(small.shard == "a");
}

TEST_CASE("Waiting long-running tasks count as load of their shard")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.submit(
        makeJob("big", { makeLatencyCriticalStep(5, 10'000, "s") }), 1, fixture.now, testStartUnixMs);
    fixture.scheduleAndCommit();
    CHECK(fixture.output.starts.size() == 3);
    CHECK(fixture.scheduler.load(fixture.now).committed() == 50'000);
}

TEST_CASE("A job larger than every worker has no shard and is not reported as overload")
{
    Fleet::ShardChooser chooser;
    chooser.update({ { "a", ownerInfo("a", 0) } });
    const auto choice = chooser.choose(makeJob("huge", { makeStep(1, 40'000, 500) }), 1);
    CHECK(choice.shard.empty());
    CHECK_FALSE(choice.isOverloaded);
}

TEST_CASE("Best-effort jobs are placed by unused processors, other jobs by committed processors")
{
    Fleet::ShardOwnerInfo criticalShard = ownerInfo("serving", 400'000);
    criticalShard.load.set_serving(400'000);
    Fleet::ShardOwnerInfo bestEffortShard = ownerInfo("filled", 100'000);
    bestEffortShard.load.set_filling(380'000);
    Fleet::ShardChooser chooser;
    chooser.update({ { "filled", bestEffortShard }, { "serving", criticalShard } });
    CHECK(chooser.choose(makeJob("fill", { makeBestEffortStep(4, 2000, "f") }), 1).shard == "serving");
    CHECK(chooser.choose(makeJob("plain", { makeStep(4, 2000, 800) }), 1).shard == "filled");
}

TEST_CASE("A task is delegated to a shard filled by short tasks, but not to one full of long-running tasks")
{
    Fleet::ShardOwnerInfo busy = ownerInfo("busy", 498'000);
    busy.load.set_lasting(400'000);
    Fleet::ShardOwnerInfo full = ownerInfo("full", 490'000);
    full.load.set_lasting(485'000);
    Fleet::ShardChooser chooser;
    chooser.update({ { "busy", busy }, { "full", full }, { "own", ownerInfo("own", 0) } });
    CHECK(chooser.chooseForTask("own", makeJob("j", { makeLatencyCriticalStep(1, 8000, "s") }), 0, {}, 1)
        == "busy");
    CHECK(chooser.chooseForTask("busy", makeJob("j", { makeLatencyCriticalStep(1, 8000, "s") }), 0, {}, 1)
        == "own");
}

TEST_CASE("A task that ends is delegated only where it is unlikely to wait again")
{
    const FleetSchema::JobSpec job = makeJob("j", { makeStep(4, 8000, 1000) });
    Fleet::ShardOwnerInfo own = ownerInfo("own", 400'000);
    Fleet::ShardOwnerInfo other = ownerInfo("other", 380'000);
    other.load.set_reports_results(true);
    const auto choose = [&](Utils::Duration waited) {
        Fleet::ShardChooser chooser;
        chooser.update({ { "own", own }, { "other", other } });
        return chooser.chooseForTask("own", job, 0, waited, 1);
    };
    CHECK(choose({}).empty());
    // After a while, the task may go to a shard that is hardly less loaded, but not to a full one.
    CHECK(choose(std::chrono::seconds(4)) == "other");
    other.load.set_committed(460'000);
    CHECK(choose(std::chrono::seconds(4)).empty());
    other.load.set_committed(100'000);
    CHECK(choose({}) == "other");
    // A shard without workers runs nothing, however little is committed there.
    own = ownerInfo("own", 0);
    own.load.set_capacity(0);
    other.load.set_committed(440'000);
    CHECK(choose({}) == "other");
}

TEST_CASE("A task is not delegated to a shard whose owner does not answer or cannot report its result")
{
    const FleetSchema::JobSpec job = makeJob("j", { makeStep(4, 8000, 1000) });
    Fleet::ShardOwnerInfo own = ownerInfo("own", 0);
    own.load.set_capacity(0);
    Fleet::ShardOwnerInfo other = ownerInfo("other", 0);
    Fleet::ShardChooser chooser;
    chooser.update({ { "own", own }, { "other", other } });
    CHECK(chooser.chooseForTask("own", job, 0, {}, 1).empty());
    other.load.set_reports_results(true);
    chooser.update({ { "own", own }, { "other", other } });
    chooser.setOwnerResponsive("other", false);
    CHECK(chooser.chooseForTask("own", job, 0, {}, 1).empty());
    chooser.setOwnerResponsive("other", true);
    CHECK(chooser.chooseForTask("own", job, 0, {}, 1) == "other");
}

TEST_CASE("A long-running task is delegated to a shard where one worker has room for it")
{
    const FleetSchema::JobSpec job = makeJob("j", { makeLatencyCriticalStep(1, 8000, "s") });
    Fleet::ShardOwnerInfo own = ownerInfo("own", 0);
    Fleet::ShardOwnerInfo fragmented = ownerInfo("fragmented", 0);
    fragmented.load.set_lasting(300'000);
    fragmented.load.set_lasting_room(7000);
    Fleet::ShardOwnerInfo roomy = ownerInfo("roomy", 0);
    roomy.load.set_lasting(400'000);
    roomy.load.set_lasting_room(9000);
    Fleet::ShardChooser chooser;
    chooser.update({ { "own", own }, { "fragmented", fragmented }, { "roomy", roomy } });
    CHECK(chooser.chooseForTask("own", job, 0, {}, 1) == "roomy");
    // The room may be taken by the first task, so the load decides about the next one.
    CHECK(chooser.chooseForTask("own", job, 0, {}, 1) == "fragmented");
}

TEST_CASE("A long-running task is delegated to room that the tasks waiting in the other shard cannot use")
{
    const FleetSchema::JobSpec job = makeJob("j", { makeLatencyCriticalStep(1, 8000, "s") });
    Fleet::ShardOwnerInfo own = ownerInfo("own", 0);
    Fleet::ShardOwnerInfo overloaded = ownerInfo("overloaded", 0);
    overloaded.load.set_lasting(520'000);
    overloaded.load.set_lasting_room(7999);
    Fleet::ShardChooser chooser;
    chooser.update({ { "own", own }, { "overloaded", overloaded } });
    CHECK(chooser.chooseForTask("own", job, 0, {}, 1).empty());
    overloaded.load.set_lasting_room(8000);
    chooser.update({ { "own", own }, { "overloaded", overloaded } });
    CHECK(chooser.chooseForTask("own", job, 0, {}, 1) == "overloaded");
    // The first task takes the room.
    CHECK(chooser.chooseForTask("own", job, 0, {}, 1).empty());
}

TEST_CASE("Room for long-running tasks is reported without what is reserved for those that wait")
{
    SchedulerFixture fixture(1);
    // A short task keeps a long-running one waiting for the worker, which is reserved for it.
    fixture.scheduler.submit(makeJob("short", { makeStep(1, 30'000, 500) }), 1, fixture.now, testStartUnixMs);
    fixture.scheduleAndCommit();
    fixture.scheduler.submit(
        makeJob("lasting", { makeLatencyCriticalStep(1, 20'000, "s") }), 2, fixture.now, testStartUnixMs);
    fixture.scheduleAndCommit();
    REQUIRE(fixture.output.starts.size() == 1);
    CHECK(fixture.scheduler.load(fixture.now).lasting_room() == 12'000);
}

TEST_CASE("Many tasks leave a shard without workers at once, whatever the number of nodes")
{
    const FleetSchema::JobSpec job = makeJob("j", { makeStep(4, 8000, 1000) });
    Fleet::ShardOwnerInfo own = ownerInfo("own", 0);
    own.load.set_capacity(0);
    Fleet::ShardOwnerInfo other = ownerInfo("other", 100'000);
    other.load.set_reports_results(true);
    Fleet::ShardChooser chooser;
    chooser.update({ { "own", own }, { "other", other } });
    int delegated = 0;
    while (delegated < 100 && !chooser.chooseForTask("own", job, 0, {}, 37).empty())
        ++delegated;
    // The other shard has 350 processors below the limit, and each task takes 8.
    CHECK(delegated == 44);
}

TEST_CASE("While the store turns some nodes away, their shards get no jobs and no delegated tasks")
{
    std::map<std::string, Fleet::ShardOwnerInfo> owners;
    for (const char* shard : { "a", "b", "c", "d" })
        owners[shard] = ownerInfo(shard, 400'000);
    owners["a"] = ownerInfo("a", 0);
    owners["b"] = ownerInfo("b", 0);
    owners["a"].isSilent = owners["b"].isSilent = true;
    Fleet::ShardChooser chooser;
    chooser.update(owners);
    const FleetSchema::JobSpec spec = makeJob("j", { makeStep(4, 2000, 800) });
    for (int number = 0; number < 20; ++number) {
        const std::string shard
            = chooser.choose(makeJob(std::to_string(number), { makeStep(4, 2000, 800) }), 1).shard;
        CHECK((shard == "c" || shard == "d"));
        const std::string host = chooser.findForTask("c", spec, 0, std::chrono::seconds(5), 1);
        CHECK((host.empty() || host == "d"));
    }
    // If all are silent, this node may be the one that is cut off.
    for (auto& [shard, owner] : owners)
        owner.isSilent = true;
    chooser.update(owners);
    CHECK_FALSE(chooser.choose(spec, 1).shard.empty());
}

TEST_CASE("A choice examines each shard once for the steps of a job that need the same workers")
{
    constexpr std::size_t shardCount = 100;
    std::map<std::string, Fleet::ShardOwnerInfo> owners;
    for (std::size_t number = 0; number < shardCount; ++number) {
        const std::string shard = "shard-" + std::to_string(number);
        owners[shard] = ownerInfo(shard, 100'000);
        owners[shard].load.set_reports_results(true);
    }
    Fleet::ShardChooser chooser;
    chooser.update(owners);
    // As many steps as a job can have, of two sizes.
    std::vector<FleetSchema::StepSpec> steps;
    for (std::uint32_t step = 0; step < Fleet::maxTasksPerJob; ++step)
        steps.push_back(makeStep(1, step % 2 == 0 ? 2000 : 3000, 100 + step));
    const FleetSchema::JobSpec job = makeJob("job", steps);
    CHECK_FALSE(chooser.choose(job, 1).shard.empty());
    CHECK(chooser.latestSteps() <= Fleet::maxTasksPerJob + 4 * shardCount);
    CHECK_FALSE(chooser.findForTask("shard-0", job, 0, std::chrono::seconds(3), 1).empty());
    CHECK(chooser.latestSteps() <= Fleet::maxTasksPerJob + 4 * shardCount);
}
