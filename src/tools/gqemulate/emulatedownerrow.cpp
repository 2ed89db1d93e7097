#include "emulatedownerrow.h"

#include "fleet/fencingtokens.h"

#include <algorithm>

namespace Emulate {

namespace {

using std::chrono::milliseconds;

constexpr Fleet::LeaseLimits limits { milliseconds(EmulatedOwnerRow::renewalMs),
    milliseconds(EmulatedOwnerRow::leaseLimitMs),
    milliseconds(EmulatedOwnerRow::renewalMs + EmulatedOwnerRow::leaseMs - EmulatedOwnerRow::leaseLimitMs) };

} // namespace

FleetSchema::ShardRecord EmulatedOwnerRow::releasedRow()
{
    FleetSchema::ShardRecord record;
    record.set_epoch(1);
    record.set_store_ms(1);
    record.set_earlier_renewal_ms(0);
    record.set_renewal_ms(static_cast<std::uint32_t>(renewalMs));
    record.set_lease_ms(static_cast<std::uint32_t>(leaseMs));
    return record;
}

void EmulatedOwnerRow::takeOver(const FleetSchema::ShardRecord& former, const std::string& owner,
    std::uint64_t incarnation, std::int64_t storeMs, Utils::TimePoint now)
{
    owner_ = owner;
    storeClock_.onAnswer(storeMs, now, now);
    former_ = former;
    const Fleet::FormerLeases leases = formerLeases(now);
    earlierRenewalEnd_ = now + leases.renewal;
    earlierLease_ = leases.lease;
    heldLeaseEnd_ = now + leases.held;
    record_.set_epoch(Fleet::nextEpoch(former.epoch()));
    record_.set_incarnation(incarnation);
    prepare(leases.ends, false, now);
}

// An owner that released the shard or was an earlier process of this node renews no leases any more.
Fleet::FormerLeases EmulatedOwnerRow::formerLeases(Utils::TimePoint now) const
{
    const bool isGone = former_.owner().empty() || former_.owner() == owner_;
    return Fleet::findFormerLeases(former_, isGone, storeClock_, now, limits);
}

Fleet::FormerLeases EmulatedOwnerRow::leasesOfGoneOwner(Utils::TimePoint now) const
{
    return Fleet::findFormerLeases(former_, true, storeClock_, now, limits);
}

void EmulatedOwnerRow::prepare(const Fleet::LeaseEnds& leaseEnds, bool isRelease, Utils::TimePoint now)
{
    const auto remainingMs = [now](Utils::TimePoint end) {
        return static_cast<std::uint32_t>(
            std::max<std::int64_t>(0, std::chrono::ceil<milliseconds>(end - now).count()));
    };
    const bool areEarlierOver = now > earlierRenewalEnd_ + earlierLease_ * 51 / 50;
    const auto earlierLease = std::chrono::ceil<milliseconds>(earlierLease_).count();
    const std::int64_t lease = areEarlierOver ? leaseMs : std::max<std::int64_t>(leaseMs, earlierLease);
    record_.set_owner(isRelease ? std::string() : owner_);
    record_.set_sequence(record_.sequence() + 1);
    record_.set_renewal_ms(static_cast<std::uint32_t>(renewalTimeMs_));
    record_.set_lease_ms(static_cast<std::uint32_t>(lease));
    record_.set_held_lease_ms(remainingMs(heldLeaseEnd_));
    record_.set_earlier_renewal_ms(remainingMs(earlierRenewalEnd_));
    record_.clear_lease_remaining_ms();
    for (const auto& [worker, end] : leaseEnds)
        (*record_.mutable_lease_remaining_ms())[worker] = remainingMs(end);
}

const FleetSchema::ShardRecord& EmulatedOwnerRow::dated(Utils::TimePoint now)
{
    record_.set_store_ms(static_cast<std::uint64_t>(storeClock_.latestMs(now)));
    return record_;
}

} // namespace Emulate
