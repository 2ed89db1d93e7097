#include "lossscenario.h"

#include <array>
#include <random>

namespace Emulate {

namespace {

// Time that owners of the product renew leases for without a stored transaction, with the default settings.
constexpr std::int64_t productRenewalMs = 5000;
// Time until the entry of a lost worker has expired.
constexpr std::int64_t entryExpiryMs = 4500;

} // namespace

FleetScenario lossScenario(std::uint64_t seed)
{
    std::mt19937_64 random(seed * 122'949'823 + 37);
    const auto draw = [&random](std::int64_t min, std::int64_t max) {
        return min + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(max - min + 1));
    };
    constexpr std::array<std::int64_t, 2> seriesStartsMs { 12'000, 42'000 };
    FleetScenario scenario;
    scenario.seed = seed;
    scenario.hasLosses = true;
    scenario.renewalMs = productRenewalMs;
    scenario.workersPerShard = 12;
    scenario.longRunningLoadPercent = 25;
    scenario.submissionEndMs = 60'000;
    scenario.dayMs = 80'000;
    for (const std::int64_t earliestMs : seriesStartsMs) {
        FleetFault first;
        first.kind = FleetFaultKind::WorkersLost;
        first.startMs = earliestMs + draw(0, 5000);
        first.durationMs = entryExpiryMs;
        first.target = random() % 60;
        first.count = static_cast<std::size_t>(draw(1, 3));
        FleetFault second = first;
        second.startMs += draw(3000, 6000);
        second.count = static_cast<std::size_t>(draw(1, 3));
        scenario.faults.push_back(first);
        scenario.faults.push_back(second);
        const bool isOwnerLost = random() % 2 == 0;
        FleetFault owner = random() % 2 == 0 ? first : second;
        owner.kind = FleetFaultKind::OwnerLost;
        owner.count = 1;
        if (isOwnerLost)
            scenario.faults.push_back(owner);
    }
    return scenario;
}

} // namespace Emulate
