// Bounds on what ticks, reports and transactions of an owner examine, in shards of the sizes in use and
// beyond.

#include "fleetfixtures.h"

#include <fleet/stepbudget.h>

#include <catch2/catch.hpp>

#include <map>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

constexpr std::size_t shardSizes[] = { 90, 540, 2000 };
constexpr std::size_t maxTasks = Fleet::maxTasksPerJob;

/*! A host shard to which all members of a gang are delegated as one part. */
struct HostShard : SchedulerFixture {
    HostShard(std::size_t workerCount, std::int64_t milliProcessors)
        : SchedulerFixture(workerCount)
        , memberCount(std::min(workerCount, maxTasks))
    {
        FleetSchema::StepSpec gang = makeStep(static_cast<std::uint32_t>(memberCount), milliProcessors, 1000);
        gang.set_gang(true);
        const FleetSchema::JobSpec job = makeJob("gang", { gang });
        for (std::size_t index = 0; index < memberCount; ++index) {
            FleetSchema::TaskTransfer transfer;
            *transfer.mutable_job() = job;
            transfer.set_index(static_cast<std::uint32_t>(index));
            transfer.set_transfer(1);
            transfer.set_origin_shard("origin");
            transfer.set_part_size(static_cast<std::uint32_t>(memberCount));
            scheduler.acceptDelegatedTask(transfer, index, now);
        }
        while (scheduleAndCommit())
            confirmStarts();
    }

    /*! \return the steps that the next tick spends on the gang. */
    std::size_t tickSteps()
    {
        now += 100ms;
        scheduler.onTick(now, testStartUnixMs);
        return scheduler.latestPass().spent(Fleet::StepKind::Transfers);
    }

    std::size_t memberCount = 0;
};

} // namespace

TEST_CASE("A tick examines each member of a gang's part that waits a few times")
{
    for (const std::size_t workerCount : shardSizes) {
        HostShard shard(workerCount, 40'000);
        INFO(workerCount << " workers");
        CHECK(shard.tickSteps() <= 4 * shard.memberCount);
        // It is returned once it has waited for too long.
        for (int tick = 0; tick < 20; ++tick) {
            CHECK(shard.tickSteps() <= 4 * shard.memberCount);
            shard.scheduleAndCommit();
        }
        CHECK(shard.output.results.size() == shard.memberCount);
    }
}

TEST_CASE("A tick examines each member of a gang's part that is held a few times")
{
    for (const std::size_t workerCount : shardSizes) {
        HostShard shard(workerCount, 20'000);
        INFO(workerCount << " workers");
        REQUIRE(shard.output.readyParts.size() == 1);
        for (int tick = 0; tick < 20; ++tick)
            CHECK(shard.tickSteps() <= 4 * shard.memberCount);
        CHECK(shard.output.readyParts.size() > 2);
    }
}
