#include "leaserenewal.h"

#include <settings.pb.h>

#include <algorithm>

namespace FleetNode {

using std::chrono::milliseconds;

Utils::Duration renewalTime(const Schema::DispatchSettings& settings)
{
    // Time for which a job may have nothing running although there is room.
    constexpr milliseconds idleLimit { 3000 };
    const milliseconds lease(std::min(settings.worker_lease_ms(), settings.worker_lease_limit_ms()));
    const Utils::Duration waitLimit
        = milliseconds(settings.finish_ms()) + idleLimit - restartTime - milliseconds(settings.stop_ms());
    const Utils::Duration longest = (waitLimit - lease * 51 / 50) * 50 / 51;
    return std::clamp<Utils::Duration>(longest, {}, milliseconds(settings.orphan_grace_ms()));
}

} // namespace FleetNode
