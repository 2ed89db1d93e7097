#pragma once

#include "fleetscenario.h"

#include "fleet/formerleases.h"
#include "fleet/storeclock.h"

#include "utils/clock.h"

#include <fleet.pb.h>

#include <cstdint>
#include <string>

namespace Emulate {

/*! The owner row of a shard as its owner writes it, with the lease times that a successor relies on. */
class EmulatedOwnerRow {
public:
    /*! Longest time for which an owner that cannot store anything renews leases, unless the day sets one. */
    static constexpr std::int64_t renewalMs = usualRenewalMs;
    /*! Lease that an owner requests. */
    static constexpr std::int64_t leaseMs = 5000;
    /*! Longest lease that a worker grants. */
    static constexpr std::int64_t leaseLimitMs = 10'000;

    /*!
        Creates a row without an owner.

        \param renewalTimeMs time for which owners renew leases without a stored transaction.
    */
    explicit EmulatedOwnerRow(std::int64_t renewalTimeMs)
        : renewalTimeMs_(renewalTimeMs)
    {
    }

    /*! \return the row of a shard that was released a long time ago. */
    static FleetSchema::ShardRecord releasedRow();

    /*!
        Derives the row of a new owner from the former one.

        \param owner name of the node.
        \param incarnation of the node's process.
        \param storeMs the store's clock in the answer that contained \p former.
    */
    void takeOver(const FleetSchema::ShardRecord& former, const std::string& owner, std::uint64_t incarnation,
        std::int64_t storeMs, Utils::TimePoint now);

    /*!
        Starts the row of the next transaction.

        \param leaseEnds stated in it.
        \param isRelease whether the transaction releases the shard.
    */
    void prepare(const Fleet::LeaseEnds& leaseEnds, bool isRelease, Utils::TimePoint now);

    /*! \return the row as it is sent at \p now. */
    const FleetSchema::ShardRecord& dated(Utils::TimePoint now);

    /*! Processes an answer of the store, as in Fleet::StoreClock. */
    void onAnswer(std::int64_t storeMs, Utils::TimePoint sentAt, Utils::TimePoint receivedAt)
    {
        storeClock_.onAnswer(storeMs, sentAt, receivedAt);
    }

    /*! \return what the owner knows at \p now about the leases of former owners. */
    Fleet::FormerLeases formerLeases(Utils::TimePoint now) const;

    /*! \return the same if the former owner is known to renew no leases any more. */
    Fleet::FormerLeases leasesOfGoneOwner(Utils::TimePoint now) const;

    /*! Sets until when workers may hold leases in the clock of a former incarnation, for the next
        transactions. */
    void setHeldLeaseEnd(Utils::TimePoint end) { heldLeaseEnd_ = end; }

    std::uint64_t epoch() const { return record_.epoch(); }
    std::uint64_t sequence() const { return record_.sequence(); }

private:
    std::int64_t renewalTimeMs_;
    FleetSchema::ShardRecord record_;
    std::string owner_;
    Fleet::StoreClock storeClock_;
    FleetSchema::ShardRecord former_;
    Utils::Duration earlierLease_ {};
    Utils::TimePoint heldLeaseEnd_ {};
    Utils::TimePoint earlierRenewalEnd_ {};
};

} // namespace Emulate
