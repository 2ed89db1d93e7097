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
    Sends a request and parses the body of the response as a Protobuf message.
    \param step name of the operation, included in errors.
    \param reply receives the message.
    \return success for status 200 and a valid message; ErrorCode::Refused for status 503; ErrorCode::Internal
            for any other response.
*/
Utils::Status callProto(Http::BlockingClient& client, std::string_view step, const Http::Request& request,
    google::protobuf::MessageLite& reply);

/*! \return a POST request to \p target whose body is \p message. */
Http::Request makeProtoRequest(std::string_view target, const google::protobuf::MessageLite& message);

} // namespace Platform::Internal
