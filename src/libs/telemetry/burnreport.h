#pragma once

#include <peer.pb.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Telemetry {

/*! Error budget burn of an objective in one window. */
struct WindowBurn {
    std::uint32_t windowS = 0; //!< Length of the window in seconds.
    std::uint64_t good = 0; //!< Requests that met the objective.
    std::uint64_t bad = 0; //!< Requests that missed the objective.
    double burnRate
        = 0; //!< Share of bad requests divided by the allowed share; 1 exactly exhausts the budget.
};

/*! Number of bad requests with one cause. */
struct CauseCount {
    std::string cause;
    std::uint64_t count = 0;
};

/*! Error budget burn of an objective. */
struct ObjectiveBurn {
    std::string service;
    std::string objective; //!< Empty for the objective of the service itself.
    std::uint32_t latencyMs = 0;
    double percent = 0;
    double remainingBudget
        = 1; //!< Remaining share of the allowed bad requests in the longest window; below 0 if exceeded.
    double medianMs = 0;
    double p99Ms = 0;
    std::vector<WindowBurn> windows; //!< Shortest first.
    std::vector<CauseCount> causes; //!< Most frequent first, in the longest window.
};

/*! Error budget burn of all objectives, sorted by service and objective. */
struct BurnReport {
    std::vector<ObjectiveBurn> objectives;
    std::uint32_t sources = 0; //!< Number of processes whose counts were summed.
};

/*!
    Creates a report from the samples of several processes.

    Counts of good and bad requests and of latency buckets are additive, so their sums are exact. Quantiles
    are computed from the summed buckets, with an error of at most LatencyHistogram::relativeError. The
    windows of different processes end at most one slice and one collection interval apart. Objectives with
    the same name but different targets, as they occur while a policy change is distributed, are reported
    separately.
*/
BurnReport makeBurnReport(std::span<const Schema::BurnSamples> sources);

} // namespace Telemetry
