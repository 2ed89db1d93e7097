#include "measurement.h"

#include <algorithm>

namespace FloodBench {

namespace {

constexpr double slowFactor = 1.25;

} // namespace

double quantile(std::vector<float>& samples, double share)
{
    if (samples.empty())
        return 0;
    const auto position = static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1));
    std::ranges::nth_element(samples, samples.begin() + static_cast<std::ptrdiff_t>(position));
    return samples[position];
}

double recoverySeconds(Measurement& measurement, Measurement& reference)
{
    const auto first = static_cast<std::size_t>(floodEnd / std::chrono::seconds(1));
    std::size_t recovered = 0;
    for (std::size_t window = first; window < measurement.urgentWindows.size(); ++window) {
        const double limit = slowFactor * quantile(reference.urgentWindows[window], 0.99);
        if (quantile(measurement.urgentWindows[window], 0.99) > limit)
            recovered = window + 1 - first;
    }
    return static_cast<double>(recovered);
}

} // namespace FloodBench
