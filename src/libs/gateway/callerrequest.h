#pragma once

#include "http/message.h"
#include "utils/clock.h"
#include "utils/result.h"

#include <cstdint>
#include <string>

namespace Gateway {

/*! What a caller asks for, taken from its request line and headers. */
struct CallerRequest {
    std::string id; //!< Geraniumquay-Request-Id; made if absent.
    std::string service; //!< Name of the service.
    std::string target; //!< Path and query for the backend server.
    std::string priorityClass; //!< Geraniumquay-Class; empty if absent.
    std::string key; //!< Idempotency-Key; empty if absent.
    std::string callerId; //!< Geraniumquay-Caller, for fairness; the sender's IP number if absent.
    bool forwarded = false; //!< Sent on by an entry VM of another domain.
    bool idempotent = false; //!< Whether the method is idempotent.
    Utils::Duration deadline {}; //!< From the arrival of the request.
};

/*!
    Parses a request to "/services/<service>/<path>".
    \param request the request as received.
    \param defaultDeadline taken if the request names none.
    \return what it asks for; ErrorCode::InvalidArgument or ErrorCode::NotFound otherwise.
*/
Utils::Result<CallerRequest> parseCallerRequest(
    const Http::Request& request, Utils::Duration defaultDeadline);

/*!
    The request as it goes to a backend server: without the headers of the caller's connection.
    \param request the request as received.
    \param caller what it asks for.
    \return the request to send.
*/
Http::Request backendRequest(const Http::Request& request, const CallerRequest& caller);

} // namespace Gateway
