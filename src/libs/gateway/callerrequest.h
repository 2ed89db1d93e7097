#pragma once

#include "http/message.h"
#include "utils/clock.h"
#include "utils/result.h"

#include <cstdint>
#include <string>

namespace Gateway {

/*! Parameters of a service request, parsed from its request line and headers. */
struct CallerRequest {
    std::string id; //!< Geraniumquay-Request-Id; generated if absent.
    std::string service;
    std::string target; //!< Path and query for the backend server.
    std::string priorityClass; //!< Geraniumquay-Class; empty if absent.
    std::string key; //!< Idempotency-Key; empty if absent.
    std::string callerId; //!< Geraniumquay-Caller, used for fair queuing; the sender's IP address if absent.
    bool forwarded = false; //!< Forwarded by an entry VM of another failure domain.
    bool idempotent = false; //!< The HTTP method is idempotent.
    Utils::Duration deadline {}; //!< Relative to the arrival of the request.
};

/*!
    Parses a request to "/services/<service>/<path>".
    \param defaultDeadline used if the request does not specify one.
    \return ErrorCode::NotFound for any other path, ErrorCode::InvalidArgument for invalid headers.
*/
Utils::Result<CallerRequest> parseCallerRequest(
    const Http::Request& request, Utils::Duration defaultDeadline);

/*!
    Creates the request to send to a backend server: without hop-by-hop headers, and with the request id and
    target of \a caller.
*/
Http::Request backendRequest(const Http::Request& request, const CallerRequest& caller);

} // namespace Gateway
