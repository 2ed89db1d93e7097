#pragma once

#include "http/message.h"
#include "requests/requesttypes.h"
#include "utils/error.h"

#include <string_view>

namespace Gateway::Internal {

/*!
    Makes a response that says what became of a request without an answer of a backend server.
    \param status the HTTP status.
    \param outcome what is known of the execution.
    \param error why there is no answer.
    \return the response with a JSON body.
*/
Http::Response outcomeResponse(unsigned status, Requests::Outcome outcome, const Utils::Error& error);

/*!
    Makes the response to a request that this entry VM refused.
    \param reject the reason and when a new try may succeed.
    \return the response with Retry-After.
*/
Http::Response rejectResponse(const Requests::Reject& reject);

/*!
    Prepares a backend server's answer for the caller.
    \param answer the answer.
    \param servedBy name of the backend server.
    \return the answer without the headers of the connection and with the outcome.
*/
Http::Response completedResponse(Http::Response response, std::string_view servedBy);

} // namespace Gateway::Internal
