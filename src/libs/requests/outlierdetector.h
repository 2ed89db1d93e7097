#pragma once

#include "utils/clock.h"

#include <cstdint>

namespace Requests {

/*!
    Detects from the results of its requests whether one backend server fails.

    A healthy server is ejected if it fails several times in a row or most of the time. The ejection time
    doubles with each ejection, up to a limit. After that time the server is on trial: the
    Router sends it one request at a time, a failure ejects it again, and several successes make it healthy.
*/
class OutlierDetector {
public:
    enum class State { Healthy, Ejected, OnTrial };

    State state(Utils::TimePoint now) const;

    /*! Records an answer that was not a failure. */
    void recordSuccess(Utils::TimePoint now);

    /*!
        Records a failure.
        \param mayEject false if too many servers are ejected already; ignored for a server on trial.
        \return true if the server was ejected by this failure.
    */
    bool recordFailure(Utils::TimePoint now, bool mayEject);

    /*! \return the moving average of the share of failures, 0 to 1. */
    double failureShare() const { return failureShare_; }

private:
    bool isEjected_ = false; // Also true while on trial.
    Utils::TimePoint ejectedUntil_ {};
    std::uint32_t consecutiveFailures_ = 0;
    std::uint32_t trialSuccesses_ = 0;
    std::uint32_t ejectionCount_ = 0;
    std::uint32_t sampleCount_ = 0;
    double failureShare_ = 0;
};

} // namespace Requests
