#include <fleetscenario.h>

#include <catch2/catch.hpp>

#include <cstdint>

namespace {

Emulate::FleetScenario scenarioWithFailures(std::uint64_t seed)
{
    Emulate::FleetScenario scenario = Emulate::randomFleetScenario(seed, Emulate::FaultMix::All);
    Emulate::addWorkerFailures(scenario);
    return scenario;
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
