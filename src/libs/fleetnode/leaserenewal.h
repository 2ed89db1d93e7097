#pragma once

#include "utils/clock.h"

namespace Schema {
class DispatchSettings;
}

namespace FleetNode {

/*! Time from the end of the last runs of a lost owner until a successor has started its tasks again. */
inline constexpr Utils::Duration restartTime = std::chrono::milliseconds(1000);

/*!
    \return the time after its last write for which an owner renews workers' leases. What runs at a worker
   that no successor reaches is waited for until this time and a lease have passed, on clocks that may be 2%
        slow, and the worker has had stop_ms to end it. After that, the tasks must start before they count as
   left waiting: 3 s after finish_ms.
*/
Utils::Duration renewalTime(const Schema::DispatchSettings& settings);

} // namespace FleetNode
