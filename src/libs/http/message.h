#pragma once

#include "utils/clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Http {

struct Header {
    std::string name;
    std::string value;
};

/*! A complete HTTP request. */
struct Request {
    std::string method = "GET";
    std::string target = "/"; //!< Path and query of the request line, still encoded.
    std::vector<Header> headers;
    std::string body;
    std::string peer; //!< IP address of the sender; set by the server that received the request.
    //! Asked by the client right before it writes the request, however long that waited for a connection. If
    //! it returns false, the request is not sent and ends with ErrorCode::Unavailable. Empty: always sent.
    std::function<bool()> maySend {};
    //! Sent by the client instead of the body if the request is the first on its connection, where the
    //! process at the other end may be another one than that of earlier responses.
    std::optional<std::string> bodyOnNewConnection {};
    //! The request has the same effect if it is carried out twice. It is sent again on a new connection if
    //! the server closes one that it has answered on before without any response to the request.
    bool isIdempotent = false;
    //! Process of the server that the request is meant for, as PeerCheck::identify() tells. If another one
    //! answers the check, the request is not sent and ends with ErrorCode::NotFound. The process may still
    //! be replaced between the check and the request. 0: any process.
    std::int64_t peerProcess = 0;
    //! The process must answer a check within this time right before the request is sent, also on a
    //! connection on which it has answered before: its host may have lost power since. Otherwise the request
    //! is not sent and ends with ErrorCode::Unavailable. 0: a connection that leads to the process needs no
    //! check.
    Utils::Duration peerCheckLimit {};
};

/*! A complete HTTP response. */
struct Response {
    unsigned status = 200;
    std::vector<Header> headers;
    std::string body;
    bool isFirstOnConnection = false; //!< Set by the client that received the response.
    //! Set by the client: the request was sent before and got no response, so the server may have carried it
    //! out even if this response rejects it.
    bool isToRepeatedRequest = false;
};

} // namespace Http
