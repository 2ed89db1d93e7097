#include "fleetfixtures.h"

#include <fleet/shardchooser.h>
#include <fleet/workerkinds.h>

#include <catch2/catch.hpp>

#include <set>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

/*! \return the owner of an idle shard of workers with 32 processors and 128 GB. */
Fleet::ShardOwnerInfo makeOwner(const std::string& shard, const std::string& label, int workerCount = 4)
{
    Fleet::ShardOwnerInfo owner;
    owner.node = "node-" + shard;
    owner.load.set_shard(shard);
    owner.load.set_service("service");
    owner.load.set_reports_results(true);
    owner.load.set_capacity(32'000L * workerCount);
    owner.load.set_largest_worker(32'000);
    owner.load.set_lasting_room(32'000);
    for (int number = 0; number < workerCount; ++number) {
        Fleet::Worker worker;
        worker.info = makeWorkerInfo("w" + std::to_string(number));
        worker.info.labels = { label, "rack-" + shard };
        Fleet::addToWorkerKinds(worker, owner.load);
    }
    return owner;
}

std::map<std::string, Fleet::ShardOwnerInfo> makeOwners()
{
    return { { "1", makeOwner("1", "a") }, { "2", makeOwner("2", "a") }, { "3", makeOwner("3", "c") } };
}

FleetSchema::StepSpec makeLabelledStep(const std::string& label, std::uint32_t count = 1)
{
    FleetSchema::StepSpec step = makeStep(count, 2000, 500);
    step.set_required_label(label);
    return step;
}

std::set<std::string> chooseOften(const std::vector<FleetSchema::StepSpec>& steps)
{
    Fleet::ShardChooser chooser;
    chooser.update(makeOwners());
    std::set<std::string> chosen;
    for (int number = 0; number < 30; ++number)
        chosen.insert(chooser.choose(makeJob("job" + std::to_string(number), steps), 1).shard);
    return chosen;
}

} // namespace

TEST_CASE("A job goes to a shard whose workers have the label, the memory and the accelerators that it needs")
{
    CHECK(chooseOften({ makeLabelledStep("c") }) == std::set<std::string> { "3" });
    CHECK(chooseOften({ makeLabelledStep("rack-2") }) == std::set<std::string> { "2" });
    CHECK(chooseOften({ makeLabelledStep("a") }) == std::set<std::string> { "1", "2" });
    // A shard that can run most of the steps; the other one moves.
    CHECK(chooseOften({ makeLabelledStep("a"), makeLabelledStep("a"), makeLabelledStep("c") })
        == std::set<std::string> { "1", "2" });
}

TEST_CASE("A job that no shard's workers can ever run is rejected")
{
    FleetSchema::StepSpec large = makeStep(1, 2000, 500);
    large.set_memory_mb(130'000);
    CHECK(chooseOften({ large }) == std::set<std::string> { "" });
    FleetSchema::StepSpec accelerated = makeStep(1, 2000, 500);
    accelerated.set_accelerators(1);
    CHECK(chooseOften({ accelerated }) == std::set<std::string> { "" });
    CHECK(
        chooseOften({ makeLabelledStep("a"), makeLabelledStep("unknown") }) == std::set<std::string> { "" });
    // A gang needs one shard for all its tasks; others can run one after the other.
    FleetSchema::StepSpec wide = makeStep(5, 20'000, 500);
    CHECK(chooseOften({ wide }) == std::set<std::string> { "1", "2", "3" });
    wide.set_gang(true);
    CHECK(chooseOften({ wide }) == std::set<std::string> { "" });
    // Long-running tasks run at the same time, but on any shards.
    FleetSchema::StepSpec lasting = makeLatencyCriticalStep(13, 100, "s");
    lasting.set_max_per_worker(1);
    CHECK(chooseOften({ lasting }) == std::set<std::string> { "" });
    lasting.set_count(12);
    CHECK_FALSE(chooseOften({ lasting }).contains(""));
}

TEST_CASE("A task is passed to a shard that can run it, however loaded, and last to one that has returned it")
{
    Fleet::ShardChooser chooser;
    auto owners = makeOwners();
    owners["3"].load.set_committed(owners["3"].load.capacity());
    chooser.update(owners);
    const FleetSchema::JobSpec labelled = makeJob("job", { makeLabelledStep("c") });
    CHECK(chooser.findForTask("1", labelled, 0, 1s, 1) == "3");
    const FleetSchema::JobSpec plain = makeJob("job", { makeStep(1, 2000, 500) });
    const std::vector<std::string> returnedBy { "2" };
    owners = makeOwners();
    owners["2"].load.set_committed(0);
    owners["3"].load.set_committed(20'000);
    chooser.update(owners);
    CHECK(chooser.findForTask("1", plain, 0, 5s, 1) == "2");
    CHECK(chooser.findForTask("1", plain, 0, 5s, 1, returnedBy) == "3");
    const std::vector<std::string> returnedByBoth { "3", "2" };
    CHECK(chooser.findForTask("1", plain, 0, 5s, 1, returnedByBoth) == "3");
}

TEST_CASE("A task that needs a label which its shard lacks leaves soon, and its returns are remembered")
{
    SchedulerFixture fixture(2);
    fixture.output.shardWithCapacity = "other";
    fixture.scheduler.submit(makeJob("job", { makeLabelledStep("c") }), 1, fixture.now, testStartUnixMs);
    const auto advance = [&](Utils::Duration duration) {
        for (const Utils::TimePoint end = fixture.now + duration; fixture.now < end; fixture.now += 100ms) {
            fixture.scheduler.onTick(fixture.now, testStartUnixMs);
            fixture.scheduleAndCommit();
        }
    };
    advance(1s);
    REQUIRE(fixture.output.delegations.size() == 1);
    FleetSchema::TaskResult returned;
    returned.set_job("job");
    returned.set_transfer(1);
    returned.set_kind(FleetSchema::TASK_RETURNED);
    fixture.scheduler.acceptTaskResult(returned, 2, fixture.now, testStartUnixMs);
    advance(1s);
    CHECK(fixture.output.latestReturnedBy == std::vector<std::string> { "other" });
    CHECK(fixture.output.delegations.back().transfer() == 2);
}

TEST_CASE("The load of a shard tells the kinds of its listed workers, whether they have room or not")
{
    SchedulerFixture fixture(2);
    FleetSchema::ShardLoad load = fixture.scheduler.load(fixture.now);
    CHECK(Fleet::countSlots(makeLabelledStep("a"), load) == 32);
    CHECK(Fleet::countSlots(makeLabelledStep("r1"), load) == 32);
    CHECK(Fleet::countSlots(makeLabelledStep("c"), load) == 0);
    Ports::WorkerInfo draining = makeWorkerInfo("w0");
    draining.isDraining = true;
    fixture.scheduler.setWorkers({ draining }, fixture.now);
    CHECK_FALSE(Fleet::canEverRun(makeLabelledStep("a"), fixture.scheduler.load(fixture.now)));
}
