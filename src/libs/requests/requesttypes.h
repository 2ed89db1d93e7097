#pragma once

#include "utils/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

/*! Decision cores of the request path: admission, routing, retries, credits and keys. No I/O. */
namespace Requests {

using RequestId = std::uint64_t;
using AttemptId = std::uint64_t;

/*! What a caller asks for, as far as decisions need it. */
struct RequestDescription {
    RequestId id = 0; //!< Unique within one RequestCore.
    std::string service;
    std::string priorityClass; //!< Empty or unknown: the service's default class.
    std::string caller; //!< Identity for fairness within a class.
    Utils::TimePoint deadline {}; //!< No answer is useful after it.
    bool isIdempotent = false; //!< A second run does no harm.
    std::string key; //!< Idempotency key; empty if none.
    bool mustStayInDomain = false; //!< Another domain sent it on; it must not be sent on again.
    std::size_t expectedBytes = 0; //!< Expected bytes of request and answer, for the link's budget.
};

/*! A target of requests: a backend server of the own domain, or an entry VM of another domain. */
struct Backend {
    std::string name;
    std::string domain;
    std::string region;
    std::uint32_t slots = 8; //!< Requests it runs at once.
    std::uint32_t connections = 64; //!< Connections it accepts.
    bool isDraining = false; //!< Takes no new work.
};

/*! What is known of the execution of a request. */
enum class Outcome {
    Completed, //!< A whole answer of a backend server exists.
    NotRun, //!< It surely did not run.
    Unknown, //!< It may or may not have run.
};

/*! Why a backend server refused a request before it executed it. */
enum class RefusalKind {
    Overloaded, //!< It has no free slot.
    Draining, //!< It is about to stop.
};

/*! Why a request was refused by this entry VM. */
enum class RejectReason {
    QueueFull, //!< The class's queue cannot be served in time.
    QueueTimeout, //!< It stayed in the queue for the class's longest time.
    DeadlinePassed, //!< Its deadline passed before it was sent.
    NoBackend, //!< No backend server of the service is usable.
    Stopping, //!< This process is about to stop.
};

/*! Send the request to a backend server. */
struct Dispatch {
    RequestId request = 0;
    AttemptId attempt = 0;
    std::string backend;
};

/*! Answer the caller with "not-run"; nothing was sent. */
struct Reject {
    RequestId request = 0;
    RejectReason reason = RejectReason::QueueFull;
    Utils::Duration retryAfter {}; //!< When a new try may succeed.
};

/*! The request is decided; an attempt still open must be closed and its end reported. */
struct Finish {
    RequestId request = 0;
    Outcome outcome = Outcome::Unknown;
};

using Action = std::variant<Dispatch, Reject, Finish>;

/*!
    Name of an outcome in the header Geraniumquay-Outcome.
    \param outcome the outcome.
    \return "completed", "not-run" or "unknown".
*/
const char* outcomeName(Outcome outcome);

/*!
    Name of a reason in logs, answers and metrics.
    \param reason the reason.
    \return a lower-case name with hyphens.
*/
const char* rejectReasonName(RejectReason reason);

} // namespace Requests
