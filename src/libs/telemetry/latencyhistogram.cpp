#include "latencyhistogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Telemetry {

void LatencyHistogram::add(double latencyMs)
{
    std::size_t bucket = 0;
    if (latencyMs > firstBoundMs) {
        const double bucketIndex = std::ceil(std::log(latencyMs / firstBoundMs) / std::log(boundFactor));
        bucket = static_cast<std::size_t>(std::min(bucketIndex, static_cast<double>(bucketCount - 1)));
    }
    ++counts_[bucket];
}

void LatencyHistogram::merge(std::span<const std::uint64_t> counts)
{
    const std::size_t size = std::min(counts.size(), counts_.size());
    for (std::size_t i = 0; i < size; ++i)
        counts_[i] += counts[i];
}

std::uint64_t LatencyHistogram::count() const
{
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t { 0 });
}

double LatencyHistogram::quantileMs(double probability) const
{
    const std::uint64_t total = count();
    if (total == 0)
        return 0;
    const double rank = std::max(1.0, std::ceil(probability * static_cast<double>(total)));
    std::uint64_t cumulativeCount = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        cumulativeCount += counts_[i];
        if (static_cast<double>(cumulativeCount) >= rank)
            return firstBoundMs * std::pow(boundFactor, static_cast<double>(i) - 0.5);
    }
    return firstBoundMs * std::pow(boundFactor, static_cast<double>(bucketCount));
}

std::span<const std::uint64_t> LatencyHistogram::counts() const
{
    return counts_;
}

} // namespace Telemetry
