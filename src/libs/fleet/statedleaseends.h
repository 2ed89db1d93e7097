#pragma once

#include "formerleases.h"

#include "utils/clock.h"

#include <optional>
#include <string>
#include <utility>

namespace Fleet {

/*!
    Ends of leases that an owner states in its shard's row. A successor relies on them, so the owner must not
    grant a longer lease before a later transaction states another end or none.
*/
class StatedLeaseEnds {
public:
    /*! Notes that a transaction that states the ends is about to be sent. */
    void onSent(LeaseEnds ends) { sent_ = std::move(ends); }

    /*! Notes that the transaction is stored. */
    void onStored()
    {
        if (sent_)
            stored_ = *std::exchange(sent_, std::nullopt);
    }

    /*! \return whether a lease of the worker may last until \p end, whichever transaction is stored. */
    bool allows(const std::string& worker, Utils::TimePoint end) const
    {
        return isWithin(stored_, worker, end) && (!sent_ || isWithin(*sent_, worker, end));
    }

    /*! \return the ends that the latest transaction states, stored or not. */
    const LeaseEnds& latest() const { return sent_ ? *sent_ : stored_; }

private:
    static bool isWithin(const LeaseEnds& ends, const std::string& worker, Utils::TimePoint end)
    {
        const auto stated = ends.find(worker);
        return stated == ends.end() || end <= stated->second;
    }

    LeaseEnds stored_;
    std::optional<LeaseEnds> sent_; //!< Of the transaction in progress.
};

} // namespace Fleet
