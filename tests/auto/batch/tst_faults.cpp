#include "faultsimulation.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <set>

namespace {

using Testing::BrokenRule;
using Testing::FaultPlan;
using Testing::FaultSimulation;

constexpr std::uint32_t seedCount = 60;

std::vector<std::string> runSeed(std::uint32_t seed, const FaultPlan& plan, BrokenRule brokenRule)
{
    FaultSimulation simulation(seed, plan, brokenRule);
    simulation.submit("batch-long", 10, 9000, Schema::BATCH);
    simulation.submit("batch-short", 60, 1500, Schema::BATCH);
    simulation.submit("service", 2, 20000, Schema::SERVICE);
    return simulation.run();
}

// Prints the first violation and its seed, so that a failing run can be repeated.
bool invariantsHold(const FaultPlan& plan, BrokenRule brokenRule, std::uint32_t seeds)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        const std::vector<std::string> violations = runSeed(seed, plan, brokenRule);
        if (violations.empty())
            continue;
        std::cout << "seed " << seed << ": " << violations.front() << '\n';
        return false;
    }
    return true;
}

} // namespace

TEST_CASE("Combined faults never run a task twice, lose it or resume a checkpoint twice")
{
    CHECK(invariantsHold({}, BrokenRule::None, seedCount));
}

TEST_CASE("Every checkpoint is resumed exactly once while workers stay reachable")
{
    FaultPlan plan;
    plan.partitions = false;
    plan.workerKills = false;
    plan.ownerPauses = false;
    CHECK(invariantsHold(plan, BrokenRule::None, seedCount / 2));
}

TEST_CASE("An urgent task gets the next free processor before tasks that were recorded ahead")
{
    const auto startDelay = [](const std::string& priorityClass) {
        FaultPlan plan;
        plan.faultDuration = Testing::Milliseconds(0);
        FaultSimulation simulation(1, plan, BrokenRule::None);
        simulation.submit("batch-flood", 200, 2000, Schema::BATCH);
        simulation.advance(std::chrono::seconds(5));
        simulation.submit("batch-late", 1, 100, Schema::BATCH, priorityClass);
        simulation.advance(std::chrono::seconds(40));
        return simulation.firstStartDelay("batch-late") - std::chrono::seconds(5);
    };
    CHECK(startDelay("urgent") < Testing::Milliseconds(4700));
    CHECK(startDelay("unknown") > std::chrono::seconds(10)); // An unknown class is the least urgent.
}

TEST_CASE("The invariant checker detects each broken rule")
{
    CHECK_FALSE(invariantsHold({}, BrokenRule::EpochIgnored, seedCount));
    CHECK_FALSE(invariantsHold({}, BrokenRule::GrantAgeIgnored, seedCount));
    CHECK_FALSE(invariantsHold({}, BrokenRule::LeaseUnderestimated, seedCount));
    CHECK_FALSE(invariantsHold({}, BrokenRule::StartsRepeated, seedCount));
    CHECK_FALSE(invariantsHold({}, BrokenRule::ConditionsIgnored, seedCount));
    CHECK_FALSE(invariantsHold({}, BrokenRule::EndsAcknowledgedEarly, seedCount));
}
