#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Ports {

/*! A worker as the platform lists it. */
struct WorkerInfo {
    std::string id; //!< Names one worker; a restarted worker may keep it.
    std::string address; //!< "address:port".
    std::string domain; //!< Failure domain.
    std::string service; //!< Service whose tasks it runs.
    std::string rack;
    std::vector<std::string> labels;
    std::int64_t milliProcessors = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
    std::int64_t startedUnixMs = 0; //!< Start of its incarnation, Unix time.
    std::int64_t drainRemainingMs = 0; //!< Least time left while it drains.
    bool isDraining = false;
};

} // namespace Ports
