#include "fleetfixtures.h"

#include <fleet/shardchooser.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

constexpr std::uint32_t replicas = 4;

/*! \param budget most unavailable tasks; 0: the step states none. */
FleetSchema::StepSpec makeReplicas(std::uint32_t budget)
{
    FleetSchema::StepSpec step = makeStep(replicas, 1000, 0);
    step.set_lasting(true);
    step.set_disruption_budget(budget);
    step.set_has_disruption_budget(budget > 0);
    return step;
}

/*! A shard whose workers run a long-running job at the time of the evacuation, and other shards with room. */
struct EvacuatedFixture : SchedulerFixture {
    explicit EvacuatedFixture(std::uint32_t budget = 1)
        : SchedulerFixture(2)
    {
        output.shardWithCapacity = "other";
        scheduler.submit(makeJob("service", { makeReplicas(budget) }), 1, now, testStartUnixMs);
        scheduleAndCommit();
        confirmStarts();
        pass(10s);
    }

    /*! \return a report on the running attempts of a worker, all of which are at work. */
    Ports::WorkerReport runningAt(const std::string& worker) const
    {
        Ports::WorkerReport content;
        for (const Fleet::AttemptStart& start : running) {
            if (start.worker == worker)
                content.running.push_back({ start.task, start.attempt, "saved", 100, 1 });
        }
        return content;
    }

    std::size_t countStoppedTasks() const
    {
        std::set<Ports::TaskKey> tasks;
        for (const RecordingOutput::Command& stop : output.stops)
            tasks.insert(stop.task);
        return tasks.size();
    }

    /*! Lets time pass while the workers report. */
    void pass(Utils::Duration duration)
    {
        for (const Utils::TimePoint end = now + duration; now < end;) {
            now += 100ms;
            for (const std::string& worker : workers)
                report(worker, runningAt(worker));
            scheduler.onTick(now, testStartUnixMs);
            scheduleAndCommit();
            confirmStarts();
        }
    }
};

Fleet::ShardOwnerInfo makeOwner(const std::string& shard, std::int64_t committed)
{
    Fleet::ShardOwnerInfo owner;
    owner.node = "node-" + shard;
    owner.load.set_shard(shard);
    owner.load.set_service("service");
    owner.load.set_capacity(10'000);
    owner.load.set_committed(committed);
    owner.load.set_largest_worker(1000);
    owner.load.set_lasting_room(1000);
    owner.load.set_reports_results(true);
    return owner;
}

} // namespace

TEST_CASE("An evacuated shard starts nothing, and what waits there is delegated at once")
{
    EvacuatedFixture fixture;
    const std::size_t startedBefore = fixture.output.starts.size();
    // Recorded when the evacuation begins, and sent only if that does not matter.
    fixture.scheduler.submit(
        makeJob("recorded", { makeStep(1, 1000, 500) }), 2, fixture.now, testStartUnixMs);
    fixture.scheduler.schedule(fixture.now, testStartUnixMs);
    REQUIRE(fixture.scheduler.beginCommit(testStartUnixMs));
    fixture.scheduler.setEvacuated(true);
    fixture.scheduler.onCommitted(fixture.now);
    fixture.scheduler.submit(makeJob("waiting", { makeStep(2, 1000, 500) }), 3, fixture.now, testStartUnixMs);
    fixture.pass(300ms);
    CHECK(fixture.output.starts.size() == startedBefore);
    CHECK(fixture.output.delegations.size() == 3);
    CHECK(fixture.scheduler.load(fixture.now).capacity() == 0);
}

TEST_CASE("Long-running tasks leave an evacuated shard within their disruption budget")
{
    const std::uint32_t budget = GENERATE(0U, 1U, 2U);
    EvacuatedFixture fixture(budget);
    fixture.scheduler.setEvacuated(true);
    fixture.pass(4s);
    // Nothing tells yet that a stopped task is at work again, so no other one follows.
    CHECK(fixture.countStoppedTasks() == std::max(1U, budget));
}

TEST_CASE("Long-running tasks stay in an evacuated shard while no other shard has room for them")
{
    EvacuatedFixture fixture;
    fixture.output.shardWithCapacity.clear();
    fixture.scheduler.setEvacuated(true);
    fixture.pass(2s);
    CHECK(fixture.output.stops.empty());
    fixture.output.shardWithCapacity = "other";
    fixture.pass(1s);
    CHECK(fixture.countStoppedTasks() == 1);
}

TEST_CASE("A moved task takes its checkpoint along")
{
    EvacuatedFixture fixture;
    fixture.scheduler.setEvacuated(true);
    fixture.pass(200ms);
    REQUIRE(fixture.output.stops.size() == 1);
    std::erase_if(fixture.running,
        [&](const Fleet::AttemptStart& start) { return start.task == fixture.output.stops[0].task; });
    const std::string& worker = fixture.output.stops[0].worker;
    Ports::WorkerReport content = fixture.runningAt(worker);
    content.ended.push_back(
        { 1, fixture.output.stops[0].task, 1, Ports::AttemptOutcome::Stopped, "at-the-stop" });
    fixture.report(worker, content);
    fixture.lastEndNumbers[worker] = 1;
    fixture.pass(300ms);
    REQUIRE(fixture.output.delegations.size() == 1);
    CHECK(fixture.output.delegations[0].checkpoint() == "at-the-stop");
}

TEST_CASE("A withdrawn evacuation lets the shard start tasks at once")
{
    EvacuatedFixture fixture;
    fixture.output.shardWithCapacity.clear();
    fixture.scheduler.setEvacuated(true);
    fixture.scheduler.submit(makeJob("waiting", { makeStep(1, 1000, 500) }), 2, fixture.now, testStartUnixMs);
    fixture.pass(300ms);
    const std::size_t startedBefore = fixture.output.starts.size();
    fixture.scheduler.setEvacuated(false);
    fixture.scheduleAndCommit();
    CHECK(fixture.output.starts.size() == startedBefore + 1);
}

TEST_CASE("Closed shards get neither jobs nor delegated tasks, however loaded the others are")
{
    Fleet::ShardChooser chooser;
    chooser.update({ { "closed", makeOwner("closed", 0) }, { "open", makeOwner("open", 9900) } });
    chooser.setClosedShards({ "closed" });
    const FleetSchema::JobSpec job = makeJob("job", { makeStep(1, 1000, 500) });
    CHECK(chooser.choose(job, 1).shard == "open");
    CHECK(chooser.findForTask("open", job, 0, 5s, 1).empty());
    // A task of the closed shard would wait there until the domain is taken back.
    CHECK(chooser.findForTask("closed", job, 0, 0s, 1) == "open");
    const FleetSchema::JobSpec service = makeJob("service", { makeReplicas(1) });
    CHECK(chooser.hasRoomElsewhere("closed", service, 0));
    CHECK_FALSE(chooser.hasRoomElsewhere("open", service, 0));
    chooser.setClosedShards({ "closed", "open" });
    CHECK(chooser.choose(job, 1).shard.empty());
}
