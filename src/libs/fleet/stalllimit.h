#pragma once

#include "utils/clock.h"

#include <algorithm>

namespace Fleet {

/*!
    Computes how long a transaction may take before the store counts as stalled.

    With a limit that suits a healthy store, a store that is slow but works would count as stalled, and
    submissions that could be stored in time would be rejected. Therefore the limit follows the durations
    of completed transactions.
*/
class StallLimit {
public:
    /*!
        Records a completed transaction.

        \param duration time from its first try to its answer.
    */
    void addDuration(Utils::Duration duration) { recentMax_ = std::max(duration, recentMax_ / 2); }

    Utils::Duration value() const
    {
        return std::clamp<Utils::Duration>(recentMax_ * recentMaxFactorHalves / 2, minLimit, maxLimit);
    }

private:
    static constexpr int recentMaxFactorHalves = 5; //!< Ratio of the limit to recentMax_, in halves.
    //! Lower bound on the limit, longer than a retry within a healthy store.
    static constexpr std::chrono::milliseconds minLimit { 700 };
    //! Upper bound on the limit. Callers wait for about three seconds, and the job index takes part of that
    //! time.
    static constexpr std::chrono::milliseconds maxLimit { 2000 };

    //! Greatest recent duration; decays towards that of the latest transaction.
    Utils::Duration recentMax_ {};
};

} // namespace Fleet
