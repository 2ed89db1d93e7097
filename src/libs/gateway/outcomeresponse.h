#pragma once

#include "http/message.h"
#include "requests/requesttypes.h"
#include "utils/error.h"

#include <string_view>

namespace Gateway::Internal {

/*!
    Creates the response to a request for which there is no response of a backend server, with \a error as
    JSON body.
*/
Http::Response outcomeResponse(unsigned status, Requests::Outcome outcome, const Utils::Error& error);

/*! Creates the response to a request that this entry VM rejected, with a Retry-After header. */
Http::Response rejectResponse(const Requests::Reject& reject);

/*!
    Converts the response of a backend server to the response for the caller: without hop-by-hop headers, and
    with the outcome and \a servedBy, the name of the backend server.
*/
Http::Response completedResponse(Http::Response response, std::string_view servedBy);

} // namespace Gateway::Internal
