#pragma once

#include "fleetscenario.h"

#include <cstdint>

namespace Emulate {

/*!
    Creates a scenario whose shards are filled with long-running tasks of several sizes, more than fit. A
   share of the workers drains and leaves, and jobs are cancelled later on until the remaining tasks fit.
   Passes take processor time, of which the nodes have a share of 0.07 to 0.5. There are no other faults.
*/
FleetScenario fullShardScenario(std::uint64_t seed);

} // namespace Emulate
