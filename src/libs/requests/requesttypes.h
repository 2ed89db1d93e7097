#pragma once

#include "utils/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

/*! Decision logic of the request path: admission, routing, retries, credits and keys. It performs no I/O. */
namespace Requests {

using RequestId = std::uint64_t;
using AttemptId = std::uint64_t;

/*! Properties of a caller's request that are relevant to the decisions. */
struct RequestDescription {
    RequestId id = 0; //!< Unique within one RequestCore.
    std::string service;
    std::string priorityClass; //!< The service's default class is used if empty or unknown.
    std::string caller; //!< Identity for fairness within a class.
    Utils::TimePoint deadline {}; //!< An answer is useless after it.
    bool isIdempotent = false; //!< Whether running it a second time does no harm.
    std::string key; //!< Idempotency key; empty if none.
    bool mustStayInDomain = false; //!< It was forwarded from another domain and must not be forwarded again.
    std::size_t expectedBytes = 0; //!< Expected size of request and answer, for the link's budget.
};

/*! A target of requests: a backend server of the own domain, or an entry VM of another domain. */
struct Backend {
    std::string name;
    std::string domain;
    std::string region;
    std::uint32_t slots = 8; //!< Maximum number of requests in progress.
    std::uint32_t connections = 64; //!< Maximum number of connections.
    bool isDraining = false; //!< Accepts no new work.
};

/*! What is known about the execution of a request. */
enum class Outcome {
    Completed, //!< A backend server sent a whole answer.
    NotRun, //!< It is certain that the request did not run.
    Unknown, //!< The request may or may not have run.
};

/*! Why a backend server refused a request before executing it. */
enum class RefusalKind {
    Overloaded, //!< It has no free slot.
    Draining, //!< It is about to stop.
};

/*! Why this entry VM rejected a request. */
enum class RejectReason {
    QueueFull, //!< The class's queue is too long to be served in time.
    QueueTimeout, //!< It reached the maximum queue time of its class.
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
    Utils::Duration retryAfter {}; //!< Delay after which a retry may succeed.
};

/*! The request is decided. If an attempt is still open, it must be closed and its end reported. */
struct Finish {
    RequestId request = 0;
    Outcome outcome = Outcome::Unknown;
};

using Action = std::variant<Dispatch, Reject, Finish>;

/*! \return the value of the header Geraniumquay-Outcome: "completed", "not-run" or "unknown". */
const char* outcomeName(Outcome outcome);

/*! \return the lower-case, hyphenated name of a reason in logs, answers and metrics. */
const char* rejectReasonName(RejectReason reason);

} // namespace Requests
