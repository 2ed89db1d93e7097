#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace Telemetry {

/*!
    A latency histogram with fixed buckets that are the same in every process.

    Bucket bounds grow by a constant factor. So a quantile of merged histograms is within relativeError of the
    exact quantile of all samples, regardless of the number of merged histograms.
*/
class LatencyHistogram {
public:
    static constexpr double firstBoundMs = 0.1; //!< Upper bound of the first bucket.
    static constexpr double boundFactor = 1.2; //!< Ratio between adjacent bounds.
    static constexpr std::size_t bucketCount = 96; //!< The last bucket has no upper bound.
    static constexpr double relativeError
        = 0.0955; //!< sqrt(boundFactor) - 1; for latencies between the first and the last bound.

    void add(double latencyMs);

    /*! Adds the bucket \a counts of another histogram; missing buckets count as 0. */
    void merge(std::span<const std::uint64_t> counts);

    /*! Returns the number of recorded latencies. */
    std::uint64_t count() const;

    /*!
        Estimates a quantile.
        \param probability from 0 to 1.
        \return the geometric mean of the bounds of its bucket in milliseconds; 0 if the histogram is empty.
    */
    double quantileMs(double probability) const;

    std::span<const std::uint64_t> counts() const;

private:
    std::vector<std::uint64_t> counts_ = std::vector<std::uint64_t>(bucketCount);
};

} // namespace Telemetry
