#pragma once

#include <peer.pb.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Telemetry {

/*! Burn of one objective over one window. */
struct WindowBurn {
    std::uint32_t windowS = 0; //!< Length of the window in seconds.
    std::uint64_t good = 0; //!< Requests that met the objective.
    std::uint64_t bad = 0; //!< Requests that missed it.
    double burnRate = 0; //!< Share of bad requests by the share the objective allows; 1 just uses it up.
};

/*! Bad requests of one cause. */
struct CauseCount {
    std::string cause;
    std::uint64_t count = 0;
};

/*! Burn of one objective. */
struct ObjectiveBurn {
    std::string service;
    std::string objective; //!< Empty for the service's own.
    std::uint32_t latencyMs = 0;
    double percent = 0;
    double remainingBudget
        = 1; //!< Share of the allowed bad requests of the longest window left; below 0 if overspent.
    double medianMs = 0;
    double p99Ms = 0;
    std::vector<WindowBurn> windows; //!< Shortest first.
    std::vector<CauseCount> causes; //!< Largest first, over the longest window.
};

/*! Burn of all objectives, ordered by service and objective. */
struct BurnReport {
    std::vector<ObjectiveBurn> objectives;
    std::uint32_t sources = 0; //!< Processes whose counts were summed.
};

/*!
    Sums the counts of several processes into one report.

    Counts of good and bad requests and of latency buckets add up, so the sums are exact; quantiles are
    read from the summed buckets within LatencyHistogram::relativeError. Windows of different processes
    end at most one slice and one collection round apart. Objectives with the same name and another
    target, as while a change spreads, are kept apart.

    \param sources the samples of each process.
    \return the report.
*/
BurnReport makeBurnReport(std::span<const Schema::BurnSamples> sources);

} // namespace Telemetry
