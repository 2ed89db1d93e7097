#include "fleetfixtures.h"

#include <fleet/shardchoice.h>

#include <catch2/catch.hpp>

#include <set>

using namespace Testing;

namespace {

Fleet::ShardHolder holderOf(const std::string& shard, std::int64_t committed)
{
    Fleet::ShardHolder holder;
    holder.node = "node-" + shard;
    holder.load.set_shard(shard);
    holder.load.set_service("service");
    holder.load.set_capacity(500'000);
    holder.load.set_committed(committed);
    holder.load.set_largest_worker(32'000);
    return holder;
}

} // namespace

TEST_CASE("Jobs that come between two reports are spread, not all sent to the least loaded shard")
{
    Fleet::ShardChooser chooser;
    chooser.update({ { "a", holderOf("a", 100'000) }, { "b", holderOf("b", 110'000) } });
    std::map<std::string, int> counts;
    for (int number = 0; number < 20; ++number)
        ++counts[chooser.choose(makeJob("j", { makeStep(4, 2000, 800) }), 1).shard];
    CHECK(counts["a"] >= 8);
    CHECK(counts["b"] >= 8);
}

TEST_CASE("Nodes that see the same loads spread a flood of jobs over all shards by their room")
{
    constexpr int nodes = 37;
    constexpr int jobsPerNode = 6;
    std::map<std::string, Fleet::ShardHolder> holders;
    for (int number = 0; number < 6; ++number) {
        const std::string name = "zone" + std::to_string(number);
        holders[name + "/1"] = holderOf(name + "/1", 0);
        holders[name + "/2"] = holderOf(name + "/2", 0);
        holders[name + "/2"].load.set_capacity(250'000);
    }
    std::map<std::string, int> counts;
    for (int node = 0; node < nodes; ++node) {
        Fleet::ShardChooser chooser;
        chooser.update(holders);
        for (int job = 0; job < jobsPerNode; ++job) {
            const std::string id = std::to_string(node) + "-" + std::to_string(job);
            ++counts[chooser.choose(makeJob(id, { makeServingStep(6, 4000, "s") }), nodes).shard];
        }
    }
    // In proportion to the room the larger shards get 25 each and the smaller ones 12.
    for (const auto& [shard, holder] : holders) {
        const double share = nodes * jobsPerNode * static_cast<double>(holder.load.capacity()) / 4'500'000;
        CHECK(counts[shard] > share / 2);
        CHECK(counts[shard] < share * 2);
    }
}

TEST_CASE("A shard whose owner is silent gets no new jobs until it answers or some updates have come")
{
    const std::map<std::string, Fleet::ShardHolder> holders { { "a", holderOf("a", 0) },
        { "b", holderOf("b", 400'000) } };
    const auto chosenOf = [&](Fleet::ShardChooser& chooser) {
        std::set<std::string> chosen;
        for (int job = 0; job < 20; ++job)
            chosen.insert(
                chooser.choose(makeJob("j" + std::to_string(job), { makeStep(1, 100, 800) }), 1).shard);
        return chosen;
    };
    Fleet::ShardChooser chooser;
    chooser.update(holders);
    chooser.noteOwner("a", false);
    CHECK(chosenOf(chooser) == std::set<std::string> { "b" });
    chooser.noteOwner("a", true);
    CHECK(chosenOf(chooser).contains("a"));
    chooser.noteOwner("a", false);
    for (int update = 0; update < 3; ++update)
        chooser.update(holders);
    CHECK(chosenOf(chooser).contains("a"));
    chooser.noteOwner("a", false);
    chooser.noteOwner("b", false);
    CHECK_FALSE(chosenOf(chooser).contains(""));
}

TEST_CASE("A lasting job is refused at once when no shard has room for it and for restarts")
{
    Fleet::ShardChooser chooser;
    chooser.update({ { "a", holderOf("a", 415'000) }, { "b", holderOf("b", 420'000) } });
    const auto refused = chooser.choose(makeJob("wide", { makeServingStep(6, 6000, "s") }), 1);
    CHECK(refused.shard.empty());
    CHECK(refused.isOverloaded);
    const auto small = chooser.choose(makeJob("small", { makeServingStep(1, 6000, "s") }), 1);
    CHECK(small.shard == "a");
}

TEST_CASE("Lasting tasks that wait count as load of their shard")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.submit(
        makeJob("big", { makeServingStep(5, 10'000, "s") }), 1, fixture.now, startUnixMs);
    fixture.round();
    CHECK(fixture.orders.starts.size() == 3);
    CHECK(fixture.scheduler.load().committed() == 50'000);
}

TEST_CASE("A job larger than every worker has no shard, and that is not for want of room")
{
    Fleet::ShardChooser chooser;
    chooser.update({ { "a", holderOf("a", 0) } });
    const auto choice = chooser.choose(makeJob("huge", { makeStep(1, 40'000, 500) }), 1);
    CHECK(choice.shard.empty());
    CHECK_FALSE(choice.isOverloaded);
}

TEST_CASE("Work for leftovers follows what is left, other work what is committed")
{
    Fleet::ShardHolder serving = holderOf("serving", 400'000);
    serving.load.set_serving(400'000);
    Fleet::ShardHolder filled = holderOf("filled", 100'000);
    filled.load.set_filling(380'000);
    Fleet::ShardChooser chooser;
    chooser.update({ { "filled", filled }, { "serving", serving } });
    CHECK(chooser.choose(makeJob("fill", { makeFillingStep(4, 2000, "f") }), 1).shard == "serving");
    CHECK(chooser.choose(makeJob("plain", { makeStep(4, 2000, 800) }), 1).shard == "filled");
}

TEST_CASE("A task is lent to a shard that short tasks fill, but not to one full of lasting tasks")
{
    Fleet::ShardHolder busy = holderOf("busy", 498'000);
    busy.load.set_lasting(400'000);
    Fleet::ShardHolder full = holderOf("full", 490'000);
    full.load.set_lasting(485'000);
    Fleet::ShardChooser chooser;
    chooser.update({ { "busy", busy }, { "full", full }, { "own", holderOf("own", 0) } });
    CHECK(chooser.chooseForTask("own", makeJob("j", { makeServingStep(1, 8000, "s") }), 0) == "busy");
    CHECK(chooser.chooseForTask("busy", makeJob("j", { makeServingStep(1, 8000, "s") }), 0) == "own");
}
