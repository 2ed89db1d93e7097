#pragma once

#include "scenario.h"

#include <array>
#include <cstdint>
#include <vector>

namespace FloodBench {

/*! Parts of a run. */
enum class RunPhase { Before, Flood, After };

/*! Results of one class in one part, by the time of submission. */
struct ClassResult {
    std::uint64_t offered = 0;
    std::uint64_t baseOffered = 0; //!< By callers that take no part in the flood.
    std::uint64_t completedInTime = 0; //!< Completed before the deadline.
    std::uint64_t baseCompletedInTime = 0;
    std::uint64_t notRun = 0;
    double usefulSlotSeconds = 0; //!< Of requests that completed in the part, before their deadline.
    std::vector<float> latencies; //!< Seconds, of good requests by callers that take no part in the flood.
};

/*! Results of one run. */
struct Measurement {
    std::array<std::vector<ClassResult>, 3> classes; //!< By Part, then by class.
    std::array<double, 3> availableSlotSeconds {}; //!< By Part.
    std::array<std::uint64_t, 3> firstSends {};
    std::array<std::uint64_t, 3> sends {};
    std::uint64_t sendsToFailingBackend = 0; //!< To backend server 0, later than 5 s after the start.
    std::uint64_t sendsToAnyBackend
        = 0; //!< To any backend server of its domain, later than 5 s after the start.
    std::uint32_t maxBackendRequests = 0; //!< Requests one backend server had at once.
    std::vector<std::vector<float>>
        urgentWindows; //!< Latencies of the most urgent class by second of submission.
};

/*! \return the value below which a share of the samples lies. \param samples reordered. \param share 0 to 1.
 */
double quantile(std::vector<float>& samples, double share);

/*!
    How long after the flood the most urgent class is slower than in the reference run at the same time.
    \param measurement of the run.
    \param reference of the run without a flood.
    \return seconds until the last window whose p99 exceeds the reference's by a quarter.
*/
double recoverySeconds(Measurement& measurement, Measurement& reference);

} // namespace FloodBench
