#pragma once

#include "utils/clock.h"

#include <cstdint>

namespace Requests {

/*!
    Judges one backend server by the ends of its requests.

    Healthy until it fails several times in a row or mostly; then ejected for a time that doubles with each
    ejection; then on trial with one request at a time until some succeed.
*/
class OutlierDetector {
public:
    enum class State { Healthy, Ejected, OnTrial };

    /*! \return state at a time. \param now the current time. */
    State state(Utils::TimePoint now) const;

    /*!
        Counts an answer that was not a failure.
        \param now the current time.
    */
    void recordSuccess(Utils::TimePoint now);

    /*!
        Counts a failure.
        \param now the current time.
        \param mayEject false if too many are ejected already.
        \return true if this ejected it.
    */
    bool recordFailure(Utils::TimePoint now, bool mayEject);

    /*! \return recent share of failures, 0 to 1. */
    double failureShare() const { return failureShare_; }

private:
    bool isEjected_ = false; // Ejected or on trial.
    Utils::TimePoint ejectedUntil_ {};
    std::uint32_t consecutiveFailures_ = 0;
    std::uint32_t trialSuccesses_ = 0;
    std::uint32_t ejectionCount_ = 0;
    std::uint32_t sampleCount_ = 0;
    double failureShare_ = 0;
};

} // namespace Requests
