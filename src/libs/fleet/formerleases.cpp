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
    // All leases are over long before this age.
    constexpr std::int64_t maxAgeMs = 3'600'000;
    return milliseconds(std::clamp<std::int64_t>(ageMs, 0, maxAgeMs));
}

} // namespace

Utils::Duration startTime(Utils::Duration renewal, Utils::Duration lease, Utils::Duration longestLease)
{
    // A store that answers does so sooner.
    constexpr milliseconds least { 1000 };
    return std::max<Utils::Duration>(renewal - (longestLease - lease) * 51 / 50, least);
}

FormerLeases findFormerLeases(const FleetSchema::ShardRecord& former, bool isOwnerGone,
    const StoreClock& clock, Utils::TimePoint now, const LeaseLimits& limits)
{
    FormerLeases leases;
    if (former.epoch() == 0)
        return leases;
    const std::optional<Utils::Duration> knownAge = minAge(former, clock, now);
    const Utils::Duration age = knownAge.value_or(Utils::Duration::zero());
    leases.start = std::min<Utils::Duration>(limits.start - age, Utils::Duration::zero());
    if (knownAge)
        leases.ageMs = std::chrono::duration_cast<milliseconds>(age).count();
    leases.lease = former.has_lease_ms() ? Utils::Duration(milliseconds(former.lease_ms())) : limits.lease;
    // The former owner measures the time of renewal on its own clock, which may run up to 2% slow.
    leases.renewal = former.has_renewal_ms()
        ? Utils::Duration(milliseconds(former.renewal_ms())) * 51 / 50 - age
        : limits.renewal;
    if (isOwnerGone)
        leases.renewal = std::min(leases.renewal, Utils::Duration::zero());
    const Utils::Duration earlier = former.has_earlier_renewal_ms()
        ? Utils::Duration(milliseconds(former.earlier_renewal_ms())) - age
        : limits.renewal;
    leases.renewal = std::max(leases.renewal, earlier);
    leases.held = milliseconds(former.held_lease_ms()) - age;
    for (const auto& [worker, remainingMs] : former.lease_remaining_ms())
        leases.ends[worker] = now + milliseconds(remainingMs) - age;
    return leases;
}

} // namespace Fleet
