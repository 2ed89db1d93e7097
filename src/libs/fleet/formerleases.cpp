#include "formerleases.h"

#include "storeclock.h"

#include <fleet.pb.h>

#include <algorithm>
#include <optional>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Returns the time that is certain to have passed since the row's transaction was sent.
std::optional<Utils::Duration> minAge(
    const FleetSchema::ShardRecord& former, const StoreClock& clock, Utils::TimePoint now)
{
    if (!former.has_store_ms() || former.store_ms() > StoreClock::maxMs || !clock.isKnown())
        return std::nullopt;
    const std::int64_t ageMs = clock.earliestMs(now) - static_cast<std::int64_t>(former.store_ms());
    return milliseconds(std::max<std::int64_t>(0, ageMs));
}

Utils::Duration remaining(Utils::Duration time, Utils::Duration age)
{
    return std::max(Utils::Duration::zero(), time - age);
}

} // namespace

FormerLeases findFormerLeases(const FleetSchema::ShardRecord& former, bool isOwnerGone,
    const StoreClock& clock, Utils::TimePoint now, const LeaseLimits& limits)
{
    const std::optional<Utils::Duration> knownAge = minAge(former, clock, now);
    const Utils::Duration age = knownAge.value_or(Utils::Duration::zero());
    FormerLeases leases;
    if (knownAge)
        leases.ageMs = std::chrono::duration_cast<milliseconds>(age).count();
    leases.lease = former.has_lease_ms() ? Utils::Duration(milliseconds(former.lease_ms())) : limits.lease;
    // The former owner measures the time of renewal on its own clock, which may run up to 2% slow.
    if (!isOwnerGone)
        leases.renewal = former.has_renewal_ms()
            ? remaining(Utils::Duration(milliseconds(former.renewal_ms())) * 51 / 50, age)
            : limits.renewal;
    const Utils::Duration earlier = former.has_earlier_renewal_ms()
        ? remaining(milliseconds(former.earlier_renewal_ms()), age)
        : limits.renewal;
    leases.renewal = std::max(leases.renewal, earlier);
    for (const auto& [worker, remainingMs] : former.lease_remaining_ms())
        leases.ends[worker] = now + remaining(milliseconds(remainingMs), age);
    return leases;
}

} // namespace Fleet
