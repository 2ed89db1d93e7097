#pragma once

#include <utils/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace FloodBench {

/*! Size of the fleet of one service. */
struct FleetSize {
    std::string name;
    std::uint32_t backends = 50;
    std::uint32_t entryVms = 8;
    std::uint32_t domains = 3;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
};

/*! Limits and load of one priority class. */
struct ClassLoad {
    std::string name;
    double guaranteedShare = 0; //!< Share of the slots, 0 to 1.
    double ceilingShare = 1; //!< Share of the slots, 0 to 1.
    Utils::Duration maxQueueTime {};
    Utils::Duration deadline {};
    double baseLoad = 0; //!< Load offered all the time, as a share of the capacity.
    double floodLoad = 0; //!< Additional load during the flood, as a share of the capacity.
};

/*! Load and faults of a simulation. */
struct Scenario {
    std::string name;
    std::vector<ClassLoad> classes; //!< Most urgent first.
    bool hasNoisyBackends = true; //!< Every tenth backend server is periodically slow.
    bool hasFailingBackend = false; //!< Backend server 0 answers everything with 500 after 1 ms.
    bool hasFlakyBackends
        = false; //!< Every fifth backend server answers half of its requests with 500 after 1 ms.
    bool losesDomain = false; //!< Domain 0 is lost 2 s after the start of the flood.
    std::uint64_t seed = 1;
};

constexpr Utils::Duration meanServiceTime = std::chrono::milliseconds(50);
constexpr Utils::Duration floodStart = std::chrono::seconds(10);
constexpr Utils::Duration floodEnd = std::chrono::seconds(16);
constexpr Utils::Duration simulationEnd = std::chrono::seconds(24);
constexpr Utils::Duration domainLossDelay = std::chrono::seconds(2);
constexpr Utils::Duration oneWayDelay = std::chrono::microseconds(250);

/*! \return the time point \p elapsed after the start of the simulation. */
constexpr Utils::TimePoint timeAt(Utils::Duration elapsed)
{
    return Utils::TimePoint {} + elapsed;
}

} // namespace FloodBench
