#include "burnreport.h"

#include "latencyhistogram.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace Telemetry {

namespace {

constexpr double hundredPercent = 100.0;
constexpr std::size_t maxCauses = 5;
constexpr double medianQuantile = 0.5;
constexpr double p99Quantile = 0.99;

struct ObjectiveKey {
    std::string service;
    std::string objective;
    std::uint32_t latencyMs = 0;
    double percent = 0;

    bool operator<(const ObjectiveKey& other) const
    {
        return std::tie(service, objective, latencyMs, percent)
            < std::tie(other.service, other.objective, other.latencyMs, other.percent);
    }
};

struct WindowSum {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    std::map<std::string, std::uint64_t> causes;
};

struct ObjectiveSum {
    std::map<std::uint32_t, WindowSum> windows;
    LatencyHistogram latencies;
};

void addSample(const Schema::BurnSample& sample, ObjectiveSum& sum)
{
    for (const Schema::BurnWindow& window : sample.windows()) {
        WindowSum& windowSum = sum.windows[window.window_s()];
        windowSum.good += window.good();
        windowSum.bad += window.bad();
        for (const Schema::BurnCause& cause : window.causes())
            windowSum.causes[cause.cause()] += cause.count();
    }
    sum.latencies.merge(
        { sample.latency_buckets().data(), static_cast<std::size_t>(sample.latency_buckets_size()) });
}

double burnRate(const WindowSum& sum, double percent)
{
    const auto total = static_cast<double>(sum.good + sum.bad);
    const double allowedShare = 1.0 - percent / hundredPercent;
    return total == 0 ? 0 : static_cast<double>(sum.bad) / total / allowedShare;
}

std::vector<CauseCount> largestCauses(const WindowSum& sum)
{
    std::vector<CauseCount> causes;
    for (const auto& [cause, count] : sum.causes)
        causes.push_back({ cause, count });
    std::stable_sort(causes.begin(), causes.end(),
        [](const CauseCount& left, const CauseCount& right) { return left.count > right.count; });
    causes.resize(std::min(causes.size(), maxCauses));
    return causes;
}

ObjectiveBurn makeObjectiveBurn(const ObjectiveKey& key, const ObjectiveSum& sum)
{
    ObjectiveBurn burn;
    burn.service = key.service;
    burn.objective = key.objective;
    burn.latencyMs = key.latencyMs;
    burn.percent = key.percent;
    for (const auto& [windowS, window] : sum.windows)
        burn.windows.push_back({ windowS, window.good, window.bad, burnRate(window, key.percent) });
    if (!sum.windows.empty()) {
        burn.remainingBudget = 1.0 - burn.windows.back().burnRate;
        burn.causes = largestCauses(sum.windows.rbegin()->second);
    }
    burn.medianMs = sum.latencies.quantileMs(medianQuantile);
    burn.p99Ms = sum.latencies.quantileMs(p99Quantile);
    return burn;
}

} // namespace

BurnReport makeBurnReport(std::span<const Schema::BurnSamples> sources)
{
    std::map<ObjectiveKey, ObjectiveSum> sums;
    for (const Schema::BurnSamples& source : sources) {
        for (const Schema::BurnSample& sample : source.samples())
            addSample(sample,
                sums[{ sample.service(), sample.objective(), sample.latency_ms(), sample.percent() }]);
    }
    BurnReport report;
    report.sources = static_cast<std::uint32_t>(sources.size());
    for (const auto& [key, sum] : sums)
        report.objectives.push_back(makeObjectiveBurn(key, sum));
    return report;
}

} // namespace Telemetry
