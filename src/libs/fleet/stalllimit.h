#pragma once

#include "utils/clock.h"

#include <algorithm>

namespace Fleet {

/*!
    How long a transaction may take before the store counts as not carrying any out.

    Answers a store that is slow but works: its transactions take longer than those of a sound store that just
   went down, and refusing work meanwhile would turn away what is stored in time. So the limit follows the
   transactions that got through.
*/
class StallLimit {
public:
    /*! Takes in a transaction that got through. \param took from its first try to its answer. */
    void addDuration(Utils::Duration duration) { recentMax_ = std::max(duration, recentMax_ / 2); }

    /*! \return the limit. */
    Utils::Duration value() const
    {
        return std::clamp<Utils::Duration>(recentMax_ * recentMaxFactorHalves / 2, minLimit, maxLimit);
    }

private:
    static constexpr int recentMaxFactorHalves = 5; //!< In halves.
    //! Beyond a retry within a sound store.
    static constexpr std::chrono::milliseconds minLimit { 700 };
    //! Callers wait for about three seconds, and the job index takes its part of it.
    static constexpr std::chrono::milliseconds maxLimit { 2000 };

    Utils::Duration
        recentMax_ {}; //!< Greatest recent duration, which decays towards that of the latest transaction.
};

} // namespace Fleet
