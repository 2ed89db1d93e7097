#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Ports {

/*! A worker as the platform lists it. */
struct WorkerInfo {
    std::string id; //!< Unique among workers; may stay the same after a restart.
    std::string address; //!< "address:port".
    std::string domain; //!< Failure domain.
    std::string service; //!< Service whose tasks the worker runs.
    std::string rack;
    std::vector<std::string> labels;
    std::int64_t milliProcessors = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
    std::int64_t startedUnixMs = 0; //!< Start time of the worker's current incarnation.
    std::int64_t drainRemainingMs = 0; //!< Minimum time until the worker stops; valid if isDraining is true.
    bool isDraining = false;
};

} // namespace Ports
