#pragma once

#include <fleet.pb.h>

#include <cstdint>
#include <string>

namespace Ports {

/*! Operation that a caller requests. */
enum class CallerAction {
    Submit,
    Query, //!< Reads a job's state, or a queue's number of pending jobs if the path names no job.
    Cancel,
};

/*! Request of a caller, independent of the platform's wire format. */
struct CallerRequest {
    CallerAction action = CallerAction::Query;
    std::string host;
    std::string path; //!< Path prefix of a queue, followed by the job's identifier.
    FleetSchema::JobSpec spec; //!< For Submit: payload and steps.
    std::int64_t deadlineMs = 0; //!< How long the caller waits for the response; 0: not specified.
};

/*! Result of a caller's request. */
enum class CallerOutcome {
    Done,
    NoSuchQueue,
    NoSuchJob,
    Invalid, //!< The request is invalid; retrying it cannot succeed.
    TooLarge,
    Overloaded, //!< Not accepted for lack of capacity; may be retried later.
    Unavailable, //!< Nothing was done; may be retried later.
    Undecided, //!< The request may or may not have taken effect; may be retried at once.
};

/*! Response to a caller. */
struct CallerResponse {
    CallerOutcome outcome = CallerOutcome::Done;
    bool hasState = false;
    FleetSchema::JobState state = FleetSchema::JOB_QUEUED; //!< Valid if hasState is true.
    bool hasPendingJobs = false;
    std::uint64_t pendingJobs
        = 0; //!< Number of accepted jobs without a started task; valid if hasPendingJobs is true.
    std::uint32_t retryAfterMs = 0; //!< Delay before a retry; 0: not specified.
    std::string message; //!< Describes the error; empty on success.
};

} // namespace Ports
