#pragma once

#include "utils/clock.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace FleetSchema {
class ShardRecord;
}

namespace Fleet {

class StoreClock;

/*! Time after which no attempt runs on a worker unless its lease is renewed, by worker. */
using LeaseEnds = std::map<std::string, Utils::TimePoint, std::less<>>;

/*! Longest times that apply to leases of owners whose row does not state them. */
struct LeaseLimits {
    Utils::Duration renewal {}; //!< Time for which an owner that cannot write goes on renewing leases.
    Utils::Duration lease {}; //!< Longest lease that a worker grants.
    Utils::Duration start {}; //!< As returned by startTime().
};

/*!
    \return the time after an owner has sent a transaction in which it may send the starts that are recorded
        by it. A start that another incarnation carries out gets the longest lease; this is over when the
        leases that the owner renews are.
*/
Utils::Duration startTime(Utils::Duration renewal, Utils::Duration lease, Utils::Duration longestLease);

/*! What a new owner knows about the leases that the shard's former owners have granted. */
struct FormerLeases {
    //! Time from now on for which former owners may still renew leases; negative if they cannot any more.
    Utils::Duration renewal {};
    Utils::Duration lease {}; //!< Longest lease that they request, in the worker's clock.
    //! Time from now on for which workers may hold leases in the clock of a former incarnation.
    Utils::Duration held {};
    LeaseEnds ends {}; //!< Workers whose leases end earlier than that.
    //! Time from now on for which former owners may still send starts. Not positive, as the right to send any
    //! ends before another owner can take the shard over.
    Utils::Duration start {};
    std::int64_t ageMs = -1; //!< Time since the last transaction of the former owner; -1 if unknown.

    /*!
        \return the time from now on after which no attempt of a former owner runs on any worker; negative if
            none runs any more.
    */
    Utils::Duration longestWait() const
    {
        // The worker's clock may run up to 2% slow.
        return std::max<Utils::Duration>(renewal + lease * 51 / 50, held);
    }
};

/*!
    Derives from a shard's owner row how long attempts of former owners may run.

    A former owner renews leases for a limited time after its last transaction, which the row dates by the
    store's clock.

    \param former the owner row as the former owner last wrote it; empty if there was no owner.
    \param isOwnerGone whether that owner renews no leases any more, because it released the shard or its
        process has ended.
    \param clock the store's clock, from an answer that is not older than the row.
    \param limits used where the row does not state a time.
*/
FormerLeases findFormerLeases(const FleetSchema::ShardRecord& former, bool isOwnerGone,
    const StoreClock& clock, Utils::TimePoint now, const LeaseLimits& limits);

} // namespace Fleet
