#pragma once

#include "fleetscenario.h"

namespace Emulate {

/*!
    Creates a scenario in which workers under long-running tasks lose power for good, silently and several at
    once, in two series: further workers of the shard are lost 3 to 6 s after the first ones. In half of the
    series, the node of the shard's owner is lost for good with the first or the second workers. The fleet has
    room, and calm after each series.
*/
FleetScenario lossScenario(std::uint64_t seed);

} // namespace Emulate
