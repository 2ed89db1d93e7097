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
        that is lost with its owner is waited for until this time and a lease have passed, on clocks that may
        be 2% slow, and the worker has had stop_ms to end it. After that, long-running tasks must start before
        they count as left waiting: 3 s after contact_ms without a disruption, which ends when the worker's
   entry is removed; other tasks 3 s after finish_ms.
*/
Utils::Duration renewalTime(const Schema::DispatchSettings& settings);

/*!
    \return the time after an owner has sent a transaction in which it may send the starts recorded by it, so
        that also a start that gets the longest lease is over in time for tasks to start 3 s after finish_ms.
*/
Utils::Duration startTime(const Schema::DispatchSettings& settings);

} // namespace FleetNode
