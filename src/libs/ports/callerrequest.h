#pragma once

#include <fleet.pb.h>

#include <cstdint>
#include <string>

namespace Ports {

/*! What a caller asks for. */
enum class CallerAction {
    Submit,
    Query, //!< State of a job, or of a queue if no job is named.
    Cancel,
};

/*! A caller's request. */
struct CallerRequest {
    CallerAction action = CallerAction::Query;
    std::string host;
    std::string path; //!< Path prefix of a queue and the job's identifier.
    FleetSchema::JobSpec spec; //!< With Submit: payload and steps.
    std::int64_t deadlineMs = 0; //!< How long the caller waits; 0: not told.
};

/*! What became of a caller's request. */
enum class CallerOutcome {
    Done,
    NoSuchQueue,
    NoSuchJob,
    Invalid, //!< The request can never succeed.
    TooLarge,
    Overloaded, //!< Not accepted; may be sent again later.
    Unavailable, //!< Nothing was done; may be sent again later.
    Undecided, //!< It is not known whether it took effect; may be sent again at once.
};

/*! Answer to a caller. */
struct CallerResponse {
    CallerOutcome outcome = CallerOutcome::Done;
    bool hasState = false;
    FleetSchema::JobState state = FleetSchema::JOB_QUEUED; //!< With hasState.
    bool hasPendingJobs = false;
    std::uint64_t pendingJobs = 0; //!< With hasPending: accepted jobs without a start.
    std::uint32_t retryAfterMs = 0; //!< When to come back; 0: not told.
    std::string message; //!< What is wrong.
};

} // namespace Ports
