#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace Telemetry {

/*!
    Counts of latencies in fixed buckets, which are the same in every process.

    Bucket bounds grow by a constant factor, so a quantile read from summed counts is within
    relativeError of a quantile of the summed samples, however many histograms were summed.
*/
class LatencyHistogram {
public:
    static constexpr double firstBoundMs = 0.1; //!< Upper bound of the first bucket.
    static constexpr double boundFactor = 1.2; //!< Ratio of one bound to the next.
    static constexpr std::size_t bucketCount = 96; //!< The last bucket has no upper bound.
    static constexpr double relativeError = 0.0955; //!< sqrt(boundFactor) - 1, between the bounds.

    /*! \param latencyMs one latency in milliseconds. */
    void add(double latencyMs);

    /*! \param counts bucket counts of another histogram; buckets it lacks count as 0. */
    void merge(std::span<const std::uint64_t> counts);

    /*! \return number of latencies. */
    std::uint64_t count() const;

    /*!
        A quantile.
        \param share 0 to 1.
        \return the geometric middle of its bucket in milliseconds; 0 if there are no latencies.
    */
    double quantileMs(double probability) const;

    /*! \return the bucket counts. */
    std::span<const std::uint64_t> counts() const;

private:
    std::vector<std::uint64_t> counts_ = std::vector<std::uint64_t>(bucketCount);
};

} // namespace Telemetry
