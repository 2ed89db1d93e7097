#pragma once

#include "taskkey.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Ports {

/*! How an attempt ended. */
enum class AttemptOutcome {
    Done,
    Failed, //!< By its own fault or the worker's.
    Stopped, //!< By order.
    LeaseLapsed,
    GangBroken, //!< Another member of the gang ended.
    GangIncomplete, //!< The other members did not come in time.
};

/*! An attempt that runs on a worker. */
struct RunningAttempt {
    TaskKey task;
    std::uint32_t attempt = 0;
    std::string checkpoint; //!< Latest one; may be empty.
    int progressPercent = 0; //!< Progress; a lasting task is at work at 100.
    std::int64_t load = 0; //!< Tail latency in ms of a task that serves users, else milli-processors in use.
};

/*! An attempt that ended on a worker. */
struct EndedAttempt {
    std::uint64_t sequence = 0; //!< Rises within an incarnation of the worker.
    TaskKey task;
    std::uint32_t attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Done;
    std::string checkpoint; //!< Latest one; may be empty.
};

/*! What a worker says of itself at one moment. */
struct WorkerReport {
    std::int64_t startedUnixMs = 0; //!< Start of the worker's incarnation, Unix time.
    std::int64_t clockMs = 0; //!< The worker's own steady clock.
    std::vector<RunningAttempt> running;
    std::vector<EndedAttempt> ended; //!< Ends not acknowledged yet.
    bool isTruncated = false; //!< More ends wait to be reported.
};

} // namespace Ports
