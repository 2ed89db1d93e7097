#pragma once

#include "utils/clock.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Fleet {

struct Task;
struct Worker;

/*! Attempts that were ended together without being listed as ended by their worker, and what showed it. */
struct WorkerLoss {
    std::string worker;
    std::string_view reason; //!< As in SchedulerOutput::attemptEnded().
    std::size_t attemptCount = 0;
    //! Those of them that neither an answer nor a report has confirmed.
    std::size_t unconfirmedCount = 0;
    //! Those of them that no answer has shown to run in the incarnation that they were sent to.
    std::size_t unprovedCount = 0;
    bool isWorkerListed = false;
    std::int64_t startUnixMs = 0; //!< Start of the incarnation that last reported; 0 if none has.
    std::int64_t reportAgeMs = -1; //!< Age of the worker's latest report; -1 if there is none.
    std::int64_t sinceLeaseEndMs = 0; //!< Time since the lease has certainly ended; negative if it may last.
    std::string_view leaseSource; //!< What granted the lease, as nameOf(LeaseSource).
};

/*! \return the loss of \p attempts on the worker at \p now. */
WorkerLoss describeLoss(
    const Worker& worker, std::string_view reason, std::span<Task* const> attempts, Utils::TimePoint now);

} // namespace Fleet
