#pragma once

#include "http/message.h"

#include "utils/result.h"

#include <string_view>

namespace google::protobuf {
class MessageLite;
}

namespace Http {
class BlockingClient;
}

namespace Platform::Internal {

/*!
    Sends a request and parses the answer's body as a message.
    \param client the client of the peer.
    \param step name of the step for errors.
    \param request the request.
    \param reply receives the answer.
    \return success; ErrorCode::Refused for a status of 503, ErrorCode::Internal for any other status.
*/
Utils::Status callProto(Http::BlockingClient& client, std::string_view step, const Http::Request& request,
    google::protobuf::MessageLite& reply);

/*!
    Makes a POST request whose body is a message.
    \param target the request target.
    \param message the body.
    \return the request.
*/
Http::Request makeProtoRequest(std::string_view target, const google::protobuf::MessageLite& message);

} // namespace Platform::Internal
