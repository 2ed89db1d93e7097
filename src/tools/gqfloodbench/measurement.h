#pragma once

#include "scenario.h"

#include <array>
#include <cstdint>
#include <vector>

namespace FloodBench {

/*! Phases of a run. */
enum class RunPhase { Before, Flood, After };

/*! Results of one priority class in one phase, by time of submission unless stated otherwise. */
struct ClassResult {
    std::uint64_t offered = 0;
    std::uint64_t baseOffered = 0; //!< Requests of callers that do not take part in the flood.
    std::uint64_t completedInTime = 0; //!< Requests completed before their deadline.
    std::uint64_t baseCompletedInTime = 0;
    std::uint64_t notRun = 0;
    double usefulSlotSeconds = 0; //!< Slot time of requests completed in the phase and before their deadline.
    std::vector<float> latencies; //!< In seconds, of requests completed in time by callers that do not take
                                  //!< part in the flood.
};

/*! Results of one run. */
struct Measurement {
    std::array<std::vector<ClassResult>, 3> classes; //!< By RunPhase, then by class.
    std::array<double, 3> availableSlotSeconds {}; //!< By RunPhase.
    std::array<std::uint64_t, 3> firstSends {};
    std::array<std::uint64_t, 3> sends {};
    std::uint64_t sendsToFailingBackend = 0; //!< Sends to backend server 0 later than 5 s after the start.
    std::uint64_t sendsToAnyBackend = 0; //!< Sends to any backend server later than 5 s after the start.
    std::uint32_t maxBackendRequests
        = 0; //!< Maximum number of requests at one backend server at the same time.
    std::vector<std::vector<float>>
        urgentWindows; //!< Latencies of the most urgent class by second of submission.
};

/*!
    Computes a quantile.
    \param samples the samples; they are reordered.
    \param share share of the samples below the quantile, 0 to 1.
*/
double quantile(std::vector<float>& samples, double share);

/*!
    Computes how long after the flood the most urgent class is slower than in the reference run at the same
    time.
    \param measurement results of the run.
    \param reference results of the run without a flood.
    \return seconds until the last window whose p99 exceeds that of the reference by a quarter.
*/
double recoverySeconds(Measurement& measurement, Measurement& reference);

} // namespace FloodBench
