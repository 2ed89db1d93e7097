#pragma once

#include <cstddef>
#include <memory>

namespace Placement {

/*!
    Running estimate of one quantile of a stream whose distribution changes.

    Two estimators of Boost.Accumulators take turns: a full one answers while the next one fills, so that
    old samples drop out after at most two windows.
*/
class SlidingQuantile {
public:
    /*!
        \param probability the quantile, between 0 and 1.
        \param window samples after which a new estimator starts.
        \param fewest samples before there is an estimate.
    */
    SlidingQuantile(double probability, std::size_t window, std::size_t minSamples);
    ~SlidingQuantile();
    SlidingQuantile(SlidingQuantile&& other) noexcept;
    SlidingQuantile& operator=(SlidingQuantile&& other) noexcept;

    /*! \param ratio the next sample. */
    void add(double sample);

    /*!
        The estimate.
        \param otherwise returned while there are too few samples.
        \return the estimated quantile.
    */
    double estimate(double fallback) const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace Placement
