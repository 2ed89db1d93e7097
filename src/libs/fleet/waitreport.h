#pragma once

#include "ports/taskkey.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Fleet {

/*! Why a task does not run although its turn has come, with the age of what the scheduler knows. */
struct WaitReport {
    Ports::TaskKey task;
    std::uint32_t attempt = 0; //!< Number of the latest attempt; 0 if there is none.
    std::uint32_t failureCount = 0; //!< Number of attempts that failed.
    std::string_view kind; //!< "long-running", "best-effort" or "short".
    std::string_view phase; //!< State of the task, for example "stopping".
    std::int64_t waitedMs = 0; //!< Since the task was last known to run, or since its turn came.
    std::uint32_t similarTaskCount = 1; //!< Tasks of the step that wait in the same state, with this one.

    std::string obstacles; //!< Number of workers by obstacle; only for a task without an open attempt.
    std::size_t listedWorkers = 0; //!< Workers that the platform lists for the shard.
    std::size_t usableWorkers = 0;
    std::int64_t workerListAgeMs = 0;

    std::string worker; //!< Worker of the open attempt; empty if there is none.
    bool isWorkerListed = false;
    bool isWorkerResponsive = false;
    std::int64_t reportAgeMs = -1; //!< Age of the worker's latest report; -1 if there is none.
    std::int64_t leaseRemainingMs = 0; //!< Time until the worker's lease has certainly expired.
    //! Time until the open attempt is certainly over if the worker stays silent; longer than its lease while
    //! an unanswered start may still be carried out.
    std::int64_t runRemainingMs = 0;

    std::string hostShard; //!< Shard that the task is delegated to; empty if it is not.
    bool isDelegationStored = false;
};

} // namespace Fleet
