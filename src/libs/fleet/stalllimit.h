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
    void note(Utils::Duration took) { usual_ = std::max(took, usual_ / 2); }

    /*! \return the limit. */
    Utils::Duration value() const
    {
        return std::clamp<Utils::Duration>(usual_ * usualFactor / 2, least, greatest);
    }

private:
    static constexpr int usualFactor = 5; //!< In halves.
    //! Beyond a retry within a sound store.
    static constexpr std::chrono::milliseconds least { 700 };
    //! Callers wait for about three seconds, and the job index takes its part of it.
    static constexpr std::chrono::milliseconds greatest { 2000 };

    Utils::Duration
        usual_ {}; //!< Greatest recent duration, which decays towards that of the latest transaction.
};

} // namespace Fleet
