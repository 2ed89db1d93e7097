#include "leaserenewal.h"

#include "fleet/formerleases.h"

#include <settings.pb.h>

#include <algorithm>

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// Time for which a job, or a long-running task, may have nothing running although there is room.
constexpr milliseconds idleLimit { 3000 };

milliseconds workerLease(const Schema::DispatchSettings& settings)
{
    return milliseconds(std::min(settings.worker_lease_ms(), settings.worker_lease_limit_ms()));
}

// Returns the time of renewal after which the tasks have started again when they have waited for \p limit.
Utils::Duration renewalWithin(const Schema::DispatchSettings& settings, Utils::Duration limit)
{
    const Utils::Duration runLimit = limit - restartTime - milliseconds(settings.stop_ms());
    const Utils::Duration longest = (runLimit - workerLease(settings) * 51 / 50) * 50 / 51;
    return std::clamp<Utils::Duration>(longest, {}, milliseconds(settings.orphan_grace_ms()));
}

Utils::Duration finishLimit(const Schema::DispatchSettings& settings)
{
    return milliseconds(settings.finish_ms()) + idleLimit;
}

} // namespace

Utils::Duration renewalTime(const Schema::DispatchSettings& settings)
{
    const Utils::Duration lossLimit
        = milliseconds(settings.worker_expiry_ms()) + milliseconds(settings.contact_ms()) + idleLimit;
    return renewalWithin(settings, std::min(lossLimit, finishLimit(settings)));
}

Utils::Duration startTime(const Schema::DispatchSettings& settings)
{
    return Fleet::startTime(renewalWithin(settings, finishLimit(settings)), workerLease(settings),
        milliseconds(settings.worker_lease_limit_ms()));
}

} // namespace FleetNode
