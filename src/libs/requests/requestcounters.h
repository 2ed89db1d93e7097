#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace Requests {

/*! Counters of one priority class since the start of the process. */
struct ClassCounters {
    static constexpr std::size_t rejectReasonCount = 5;

    std::uint64_t submitted = 0;
    std::uint64_t admitted = 0; //!< Dispatched at least once.
    std::array<std::uint64_t, rejectReasonCount> rejected {}; //!< By RejectReason.
    std::array<std::uint64_t, 3> finished {}; //!< By Outcome.
    std::uint64_t retried = 0;
    double queueSeconds = 0; //!< Total time in the queue until the first dispatch.
    std::uint32_t queued = 0; //!< Current value.
    std::uint32_t running = 0; //!< Current value.
};

/*! Counters of one backend server since it became known. */
struct BackendCounters {
    std::uint64_t dispatched = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t ejections = 0;
    std::uint32_t running = 0; //!< Current value.
    std::uint32_t credits = 0; //!< Slots that this entry VM may use now.
    bool isEjected = false; //!< Current value.
};

/*! Counters of one RequestCore for operators. */
struct RequestCounters {
    std::map<std::string, ClassCounters> classes;
    std::map<std::string, BackendCounters> backends;
};

} // namespace Requests
