#include <fleetscenario.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

namespace {

Emulate::FleetScenario scenarioWithFailures(std::uint64_t seed)
{
    Emulate::FleetScenario scenario = Emulate::randomFleetScenario(seed, Emulate::FaultMix::All);
    Emulate::addWorkerFailures(scenario);
    return scenario;
}

// Returns the number of violations of rules whose names start with \p rule.
std::size_t countOf(const Emulate::FleetResult& result, const std::string& rule)
{
    return static_cast<std::size_t>(std::count_if(result.violations.begin(), result.violations.end(),
        [&](const std::string& violation) { return violation.starts_with(rule); }));
}

} // namespace

// Guards against tasks that wait for workers that are never tried again after they have failed what they
// started.
TEST_CASE("Fleets whose workers fail what they start for a while violate no invariant")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const Emulate::FleetResult result = Emulate::runFleetScenario(scenarioWithFailures(seed));
        INFO("seed " << seed << (result.violations.empty() ? "" : ": " + result.violations.front()));
        CHECK(result.violations.empty());
        CHECK(result.unfinished == 0);
    }
}

TEST_CASE("The invariant checker detects starts after an end by workers of a fleet that obey former owners")
{
    Emulate::FleetScenario scenario = Emulate::randomFleetScenario(5610, Emulate::FaultMix::All);
    Emulate::addWorkerDisturbances(scenario);
    scenario.hasDeadlyTasks = false;
    CHECK(countOf(Emulate::runFleetScenario(scenario), "started after its end") == 0);
    scenario.variant = Emulate::FleetVariant::NoEpochFencing;
    CHECK(countOf(Emulate::runFleetScenario(scenario), "started after its end") > 0);
}
