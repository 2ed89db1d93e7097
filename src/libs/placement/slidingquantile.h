#pragma once

#include <cstddef>
#include <memory>

namespace Placement {

/*!
    Estimates one quantile of the recent samples of a stream whose distribution changes.

    Two estimators of Boost.Accumulators take turns: the previous one, which is full, answers while the
    current one fills up, so that samples are dropped after at most two windows.
*/
class SlidingQuantile {
public:
    /*!
        \param probability the quantile, between 0 and 1.
        \param window number of samples after which a new estimator starts.
        \param minSamples number of samples below which there is no estimate.
    */
    SlidingQuantile(double probability, std::size_t window, std::size_t minSamples);
    ~SlidingQuantile();
    SlidingQuantile(SlidingQuantile&& other) noexcept;
    SlidingQuantile& operator=(SlidingQuantile&& other) noexcept;

    void add(double sample);

    /*! \return the estimated quantile, or \p fallback while there are too few samples. */
    double estimate(double fallback) const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace Placement
