#pragma once

#include "utils/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Fleet {

/*!
    History of the utilization that the users of a latency-critical step cause, which its tasks share.

    Handles load that swings within seconds: a best-effort task that is started in a trough of the load still
    runs when the load peaks.
*/
class StepLoad {
public:
    /*! Adds the utilization, 0 to 1, of \p now. Times must not decrease. */
    void add(Utils::TimePoint now, double utilization);

    /*! \return the utilization expected when a speed that is changed now shows in a report. */
    double soon() const;

    /*! \return the greatest utilization of the past cycle of the load, at least 0. */
    double peak(Utils::TimePoint now) const;

    /*! \return the mean utilization of the past cycle of the load. */
    double mean() const { return mean_; }

private:
    static constexpr std::size_t peakCount = 24;

    /*! Greatest utilization within one interval. */
    struct Peak {
        std::int64_t interval = -1; //!< Number of the interval; -1 if there is none.
        double utilization = 0;
    };

    bool isEmpty_ = true;
    double level_ = 0.5;
    double mean_ = 0.5;
    double slope_ = 0; //!< Change of the level a second.
    double formerLevel_ = 0.5; //!< At formerAt_.
    Utils::TimePoint latestAt_ {};
    Utils::TimePoint formerAt_ {};
    std::array<Peak, peakCount> peaks_;
};

} // namespace Fleet
