#include "fullshardscenario.h"

#include <array>
#include <random>

namespace Emulate {

FleetScenario fullShardScenario(std::uint64_t seed)
{
    std::mt19937_64 random(seed * 49'979'687 + 17);
    const auto draw = [&random](std::int64_t min, std::int64_t max) {
        return min + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(max - min + 1));
    };
    constexpr std::array<std::size_t, 4> sizes { 20, 40, 60, 90 };
    constexpr std::array<double, 4> shares { 0.07, 0.15, 0.3, 0.5 };
    FleetScenario scenario;
    scenario.seed = seed;
    scenario.hasWorkerDisturbances = true;
    scenario.workersPerShard = sizes[random() % sizes.size()];
    scenario.processor.share = shares[random() % shares.size()];
    scenario.longRunningLoadPercent = static_cast<int>(draw(110, 150));
    scenario.submissionEndMs = 30'000;
    scenario.dayMs = 60'000;
    const std::int64_t departures = draw(1, 2);
    for (std::int64_t number = 0; number < departures; ++number) {
        FleetFault fault;
        fault.kind = FleetFaultKind::Departure;
        fault.startMs = draw(6000, 13'000);
        fault.durationMs = 100;
        fault.workerPercent = static_cast<int>(draw(10, 30));
        scenario.faults.push_back(fault);
    }
    return scenario;
}

} // namespace Emulate
