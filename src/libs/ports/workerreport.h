#pragma once

#include "taskkey.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Ports {

/*! How an attempt ended. */
enum class AttemptOutcome {
    Done,
    Failed, //!< Through a fault of the task or of the worker.
    Stopped, //!< By a stop command.
    LeaseLapsed,
    GangBroken, //!< Another member of its gang ended.
    GangIncomplete, //!< The other members of its gang did not start in time.
};

/*! An attempt that is running on a worker. */
struct RunningAttempt {
    TaskKey task;
    std::uint32_t attempt = 0;
    std::string checkpoint; //!< Latest checkpoint; may be empty.
    int progressPercent = 0; //!< A long-running task is ready at 100.
    std::int64_t load
        = 0; //!< Tail latency in ms of a latency-critical task, otherwise milli-processors in use.
};

/*! An attempt that ended on a worker. */
struct EndedAttempt {
    std::uint64_t sequence = 0; //!< Increases within an incarnation of the worker.
    TaskKey task;
    std::uint32_t attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Done;
    std::string checkpoint; //!< Latest checkpoint; may be empty.
};

/*! Snapshot of a worker's attempts. */
struct WorkerReport {
    std::int64_t startedUnixMs = 0; //!< Start time of the worker's current incarnation.
    std::int64_t clockMs = 0; //!< Current time of the worker's steady clock.
    std::vector<RunningAttempt> running;
    std::vector<EndedAttempt> ended; //!< Ended attempts that have not been acknowledged yet.
    bool isTruncated = false; //!< The report is full; there may be further ended attempts.
    //! The poll neither renewed the lease nor acknowledged ends, as it was the first on its connection.
    bool isFirstOnConnection = false;
};

} // namespace Ports
