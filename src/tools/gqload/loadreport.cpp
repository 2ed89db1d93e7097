#include "loadreport.h"

#include <boost/json.hpp>

#include <algorithm>

namespace Load {

namespace {

double quantileUs(const std::vector<Utils::Duration>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return std::chrono::duration<double, std::micro>(sorted[index]).count();
}

} // namespace

void LoadReport::add(const LoadReport& other)
{
    latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
    for (const auto& [outcome, count] : other.outcomes)
        outcomes[outcome] += count;
    brokenExchanges += other.brokenExchanges;
    elapsed = std::max(elapsed, other.elapsed);
}

std::string LoadReport::toJson()
{
    std::ranges::sort(latencies);
    const double seconds = std::chrono::duration<double>(elapsed).count();
    boost::json::object counts;
    for (const auto& [outcome, count] : outcomes)
        counts[outcome] = count;
    const boost::json::object report { { "answers", latencies.size() }, { "broken", brokenExchanges },
        { "per_second", seconds > 0 ? static_cast<double>(latencies.size()) / seconds : 0 },
        { "p50_us", quantileUs(latencies, 0.5) }, { "p99_us", quantileUs(latencies, 0.99) },
        { "p999_us", quantileUs(latencies, 0.999) }, { "outcomes", counts } };
    return boost::json::serialize(report);
}

} // namespace Load
