#pragma once

#include "utils/clock.h"

#include <algorithm>

namespace Fleet {

/*!
    Time for which no other node can take over this node's shards.

    Other nodes count the timeout from a heartbeat that they have seen, and they see none before it was sent.
    Once the lease has lapsed, for example because the process was paused, a later heartbeat does not show
   that the shards are still owned. Each ownership must then be confirmed anew.
*/
class MembershipLease {
public:
    /*! \param timeout time without a heartbeat after which other nodes take over. */
    explicit MembershipLease(Utils::Duration timeout)
        : timeout_(timeout)
    {
    }

    /*! Records that the store has acknowledged a heartbeat. \param sentAt when the heartbeat was sent. */
    void onHeartbeatStored(Utils::TimePoint sentAt)
    {
        if (sentAt >= end_)
            heldSince_ = sentAt;
        end_ = std::max(end_, sentAt + timeout_);
    }

    /*!
        \param confirmedAt a time at which this node still owned the shard.
        \return until when no other node can have taken the shard over since then; the clock's epoch if one
       may have done so already.
    */
    Utils::TimePoint endFor(Utils::TimePoint confirmedAt) const
    {
        return confirmedAt >= heldSince_ ? end_ : Utils::TimePoint {};
    }

    /*! \return until when the lease lasts. */
    Utils::TimePoint end() const { return end_; }

private:
    Utils::Duration timeout_;
    Utils::TimePoint heldSince_ = Utils::TimePoint::max(); //!< First heartbeat after the latest lapse.
    Utils::TimePoint end_ {};
};

} // namespace Fleet
