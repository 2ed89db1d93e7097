#include "faultworld.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <set>

namespace {

using Testing::Broken;
using Testing::FaultPlan;
using Testing::FaultWorld;

constexpr std::uint32_t seedCount = 60;

std::vector<std::string> runSeed(std::uint32_t seed, const FaultPlan& plan, Broken broken)
{
    FaultWorld world(seed, plan, broken);
    world.submit("batch-long", 10, 9000, Schema::BATCH);
    world.submit("batch-short", 60, 1500, Schema::BATCH);
    world.submit("service", 2, 20000, Schema::SERVICE);
    return world.run();
}

// Prints the first fault and its seed, so that a failing run can be repeated.
bool holds(const FaultPlan& plan, Broken broken, std::uint32_t seeds)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        const std::vector<std::string> faults = runSeed(seed, plan, broken);
        if (faults.empty())
            continue;
        std::cout << "seed " << seed << ": " << faults.front() << '\n';
        return false;
    }
    return true;
}

} // namespace

TEST_CASE("No fault and no two faults together run a task twice, lose it or resume it twice")
{
    CHECK(holds({}, Broken::Nothing, seedCount));
}

TEST_CASE("While workers stay reachable every checkpoint is resumed exactly once")
{
    FaultPlan plan;
    plan.partitions = false;
    plan.workerKills = false;
    plan.ownerPauses = false;
    CHECK(holds(plan, Broken::Nothing, seedCount / 2));
}

TEST_CASE("An urgent task takes the next free processor, before tasks that were recorded ahead")
{
    const auto waited = [](const std::string& priorityClass) {
        FaultPlan plan;
        plan.faultsUntil = Testing::Milliseconds(0);
        FaultWorld world(1, plan, Broken::Nothing);
        world.submit("batch-flood", 200, 2000, Schema::BATCH);
        world.advance(std::chrono::seconds(5));
        world.submit("batch-late", 1, 100, Schema::BATCH, priorityClass);
        world.advance(std::chrono::seconds(40));
        return world.firstStart("batch-late") - std::chrono::seconds(5);
    };
    CHECK(waited("urgent") < Testing::Milliseconds(4700));
    CHECK(waited("unknown") > std::chrono::seconds(10)); // Without its class it waits behind the flood.
}

TEST_CASE("The oracle catches each broken rule")
{
    CHECK_FALSE(holds({}, Broken::EpochIgnored, seedCount));
    CHECK_FALSE(holds({}, Broken::GrantAgeIgnored, seedCount));
    CHECK_FALSE(holds({}, Broken::LeaseUnderestimated, seedCount));
    CHECK_FALSE(holds({}, Broken::StartsRepeated, seedCount));
    CHECK_FALSE(holds({}, Broken::ConditionsIgnored, seedCount));
    CHECK_FALSE(holds({}, Broken::EndsAcknowledgedEarly, seedCount));
}
